package timeline

// ringCapacity is the number of events that a ring keeps.
const ringCapacity = 16384
