package event

// lifecycleEvents holds the definitions numbered from 3000.
var lifecycleEvents = []Definition{}
