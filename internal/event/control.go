package event

// controlEvents holds the definitions numbered from 2000.
var controlEvents = []Definition{}
