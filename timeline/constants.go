package timeline

// ringCapacity is the number of events that a process keeps.
const ringCapacity = 16384
