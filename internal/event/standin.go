package event

// standinEvents holds the definitions numbered from 4000.
var standinEvents = []Definition{}
