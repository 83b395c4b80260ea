package event

// loadEvents holds the definitions numbered from 5000.
var loadEvents = []Definition{}
