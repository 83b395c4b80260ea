package event

import "github.com/rs/zerolog"

// Events of the control thread.
const (
	// CatalogueInForce means that a newer catalogue was taken into force.
	CatalogueInForce Number = 2001
	// DocumentRefused means that an offered catalogue or VM list was refused.
	DocumentRefused Number = 2002
	// PlatformReadFailed means that a read of the platform failed.
	PlatformReadFailed Number = 2003
	// PlatformRecovered means that the platform answers again.
	PlatformRecovered Number = 2004
	// WakeupLate means that the control thread did not run for a while.
	WakeupLate Number = 2005
	// ReaderDuty means that the node begins or ends to read the platform for its zone.
	ReaderDuty Number = 2006
	// LinkUp means that a link to a peer was authenticated.
	LinkUp Number = 2007
	// LinkClosed means that a link to a peer ended.
	LinkClosed Number = 2008
	// LinkRefused means that a link was refused or closed for what the other side did.
	LinkRefused Number = 2009
	// MemberChanged means that a VM's state changed.
	MemberChanged Number = 2010
	// SuspectIdentified means that a request is known to have crashed an endpoint.
	SuspectIdentified Number = 2011
	// IncarnationConflict means that two processes claim one VM.
	IncarnationConflict Number = 2012
	// FirstCatalogue means that a node that started took its first catalogue into force.
	FirstCatalogue Number = 2013
	// NoCatalogueFound means that a node that started has found no catalogue.
	NoCatalogueFound Number = 2014
	// LeaveAnnounced means that the node told its peers that it leaves.
	LeaveAnnounced Number = 2015
	// StateAdopted means that another node told what the platform doesn't.
	StateAdopted Number = 2016
	// ReaderFound means that the node hears news from another that reads.
	ReaderFound Number = 2017
	// ReaderLost means that a node that reads told nothing more.
	ReaderLost Number = 2018
	// StoreRestored means that the platform's store came back from an older copy.
	StoreRestored Number = 2019
)

// controlEvents holds the definitions numbered from 2000.
var controlEvents = []Definition{
	{Number: CatalogueInForce, Name: "catalogue_in_force", Level: zerolog.InfoLevel, Meaning: "A newer catalogue was taken into force. Compare the revision over the nodes to see how far a change has come."},
	{Number: DocumentRefused, Name: "document_refused", Level: zerolog.WarnLevel, Meaning: "A catalogue or VM list was refused: invalid, older than the one in force, or of the same revision with other content. The last good one stays. Publish a corrected one under a newer revision."},
	{Number: PlatformReadFailed, Name: "platform_read_failed", Level: zerolog.WarnLevel, Meaning: "Reads of the platform began to fail. Nodes go on with what they know."},
	{Number: PlatformRecovered, Name: "platform_back", Level: zerolog.InfoLevel, Meaning: "The platform answers reads again."},
	{Number: WakeupLate, Name: "woke_late", Level: zerolog.WarnLevel, Meaning: "The control thread did not run for a while, as after a pause of the process. Duties and freshness count as expired until they are renewed. Look for a paused VM or a lack of processor time."},
	{Number: ReaderDuty, Name: "reader_duty", Level: zerolog.InfoLevel, Meaning: "The node begins or ends to read the platform on behalf of its availability zone."},
	{Number: LinkUp, Name: "link_up", Level: zerolog.DebugLevel, Meaning: "A link to another node was authenticated."},
	{Number: LinkClosed, Name: "link_closed", Level: zerolog.DebugLevel, Meaning: "A link to another node ended, as when a node stops or a network is cut."},
	{Number: LinkRefused, Name: "link_refused", Level: zerolog.WarnLevel, Meaning: "A link was refused or closed because of what the other side sent. Check that all nodes have the same fleet key and program version."},
	{Number: MemberChanged, Name: "member_changed", Level: zerolog.InfoLevel, Meaning: "A VM came, is leaving, or is gone."},
	{Number: SuspectIdentified, Name: "suspect_known", Level: zerolog.WarnLevel, Meaning: "A request crashed an endpoint. The fingerprint tells the nodes to keep it from others. On the platform: other nodes told so many crashes that the request is held back from now on."},
	{Number: IncarnationConflict, Name: "incarnation_conflict", Level: zerolog.WarnLevel, Meaning: "Two processes claim to be the node of one VM. Stop the one that should not run."},
	{Number: FirstCatalogue, Name: "first_catalogue", Level: zerolog.InfoLevel, Meaning: "A node that started, or woke up late, took a catalogue as current. The opening says whom it had heard by then."},
	{Number: NoCatalogueFound, Name: "nothing_known", Level: zerolog.WarnLevel, Meaning: "A node that started has found no catalogue: neither the platform nor a peer gave one. It refuses calls until one does."},
	{Number: LeaveAnnounced, Name: "leave_announced", Level: zerolog.InfoLevel, Meaning: "The node told its peers that it takes no new work."},
	{Number: StateAdopted, Name: "state_adopted", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The node started while the platform could not be read, and another node told it the configuration of the revision and a number of endpoints. It serves with them until the platform is back (2004)."},
	{Number: ReaderFound, Name: "reader_heard", Level: zerolog.InfoLevel, Meaning: "Another node of the availability zone reads the platform for this one and tells it what changes. This node has stopped reading."},
	{Number: ReaderLost, Name: "reader_lost", Level: zerolog.InfoLevel, Meaning: "The node that read the platform for this one tells nothing more: it ended, stands still, no longer reads, or is behind. This node reads by itself at once, and looks for a reader again after 5 s."},
	{Number: StoreRestored, Name: "store_restored", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The platform's store came back from an older copy of itself: its era has risen, and the revisions of before count no more. The node reads everything anew, keeps the configuration in force until a newer one is written, and keeps endpoints that the copy lacks for 2 s. Write again what was changed since the copy was made."},
}
