package soak

import "time"

const (
	// The bounds of a fleet's shape; the engines are half of each service, and
	// the smallest fleet has one disk VM and a data centre without engines.
	minEntryVMs, maxEntryVMs       = 2, 4
	minDiskVMs, maxDiskVMs         = 1, 3
	minEngines, maxEngines         = 4, 8
	minDataCentres, maxDataCentres = 1, 3
	// maxVMs bounds the VMs of a fleet, each of which has an address of its own.
	maxVMs = 8
	// engineSlots and eventTime let the engines serve the load, with few of them out of use.
	engineSlots = 4
	eventTime   = 10 * time.Millisecond
	// callersPerVM send one request after the other over connections that they
	// keep, with a pause of callerPause.
	callersPerVM = 6
	callerPause  = 40 * time.Millisecond
	// limitedRate and limitedBurst hold one team below what its callers send.
	limitedRate  = 20
	limitedBurst = 20
	// jobPause is the pause between two batch jobs, jobItems the size of each.
	jobPause = 700 * time.Millisecond
	jobItems = 8
	// jobTries bounds the tries to hand one job in.
	jobTries = 12
	// lookPause is the pause between two reads of results.
	lookPause = 60 * time.Millisecond
	// callTimeout is longer than any route allows.
	callTimeout = 6 * time.Second

	// startTime bounds the start of the whole fleet.
	startTime = 14 * time.Second
	// recoverTime is what the platform's rules give a fleet to serve again after
	// the last fault, and finishTime what is given to open jobs then.
	recoverTime = 15 * time.Second
	finishTime  = 18 * time.Second
	// sampleTime is how long a recovered fleet is watched.
	sampleTime = 2 * time.Second

	// minFaults and maxFaults bound the faults of one run.
	minFaults = 6
	maxFaults = 14
	// maxFaultTime bounds one fault.
	maxFaultTime = 4 * time.Second
	// finalShare is the part of the runs that end with the loss of all processes.
	finalShare = 0.3
	// stormInterval is the pause between the configurations of a storm.
	stormInterval = 150 * time.Millisecond
	// slowLink delays each piece of data on a slow link.
	slowLink = 120 * time.Millisecond
	// slowStore delays each call of a slow store.
	slowStore = 400 * time.Millisecond
	// failEach of a failing engine's requests fail.
	failEach = 3

	// stableTime is how long a calm has to last until bounds hold.
	stableTime = 4 * time.Second
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 8 * time.Second
	// drainBound is the time after which a draining server gets nothing new.
	drainBound = 3 * time.Second
	// retireBound is the time in which a disk VM says that it keeps nothing.
	retireBound = 2 * time.Second
	// rateWindow, rateSlack and rateOvershoot bound a team's requests: in any
	// window no more than (rate × window + burst) × (1 + overshoot) + slack.
	rateWindow    = 5 * time.Second
	rateOvershoot = 0.1
	rateSlack     = 20
)
