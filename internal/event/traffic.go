package event

// trafficEvents holds the definitions numbered from 1000.
var trafficEvents = []Definition{}
