package event

import "github.com/rs/zerolog"

// Events of the control thread.
const (
	// CatalogueInForce means that a newer catalogue has come into force.
	CatalogueInForce Number = 2001
	// DocumentRefused means that a catalogue or VM list was refused.
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
	// MemberChanged means that a VM was added, is leaving or was removed.
	MemberChanged Number = 2010
	// SuspectIdentified means that a request is known to have crashed an endpoint.
	SuspectIdentified Number = 2011
	// IncarnationConflict means that two processes claim one VM.
	IncarnationConflict Number = 2012
	// FirstCatalogue means that a started node has its first catalogue in force.
	FirstCatalogue Number = 2013
	// NoCatalogueFound means that a started node has found no catalogue.
	NoCatalogueFound Number = 2014
	// LeaveAnnounced means that the node announced to its peers that it leaves.
	LeaveAnnounced Number = 2015
	// StateAdopted means that a node started with state from another node because the
	// platform could not be read.
	StateAdopted Number = 2016
	// ReaderFound means that the node receives updates from another node that reads the
	// platform.
	ReaderFound Number = 2017
	// ReaderLost means that the updates from the reading node have stopped.
	ReaderLost Number = 2018
	// StoreRestored means that the platform's store was restored from an older copy.
	StoreRestored Number = 2019
	// PlatformCallLost means that a call to the platform got no answer in time.
	PlatformCallLost Number = 2020
)

// controlEvents holds the definitions numbered from 2000.
var controlEvents = []Definition{
	{Number: CatalogueInForce, Name: "catalogue_in_force", Level: zerolog.InfoLevel, Meaning: "A newer catalogue came into force. To see how far a change has spread, compare the revision on all nodes."},
	{Number: DocumentRefused, Name: "document_refused", Level: zerolog.WarnLevel, Meaning: "A catalogue or VM list was refused: it is invalid, older than the one in force, or has the same revision with other content. The last valid one stays in force. Publish a corrected one with a newer revision."},
	{Number: PlatformReadFailed, Name: "platform_read_failed", Level: zerolog.WarnLevel, Meaning: "Reads of the platform have begun to fail. The node continues with the last known state. Check the platform and the network to it."},
	{Number: PlatformRecovered, Name: "platform_back", Level: zerolog.InfoLevel, Meaning: "Reads of the platform succeed again."},
	{Number: WakeupLate, Name: "woke_late", Level: zerolog.WarnLevel, Meaning: "The control thread did not run for a while, for example because the process was paused. Reader duties and freshness count as expired until they are renewed. Check for a paused VM or a lack of CPU time."},
	{Number: ReaderDuty, Name: "reader_duty", Level: zerolog.InfoLevel, Meaning: "The node has begun or stopped to read the platform on behalf of its availability zone."},
	{Number: LinkUp, Name: "link_up", Level: zerolog.DebugLevel, Meaning: "A link to another node was authenticated."},
	{Number: LinkClosed, Name: "link_closed", Level: zerolog.DebugLevel, Meaning: "A link to another node was closed, for example because that node stopped or the network failed."},
	{Number: LinkRefused, Name: "link_refused", Level: zerolog.WarnLevel, Meaning: "A link was refused or closed because of what the other side sent. Check that all nodes have the same fleet key and program version."},
	{Number: MemberChanged, Name: "member_changed", Level: zerolog.InfoLevel, Meaning: "A VM was added, is leaving, or was removed."},
	{Number: SuspectIdentified, Name: "suspect_known", Level: zerolog.WarnLevel, Meaning: "A request crashed an endpoint. Its fingerprint is shared with the other nodes so that they keep it from further endpoints. On the platform: other nodes reported so many crashes that the request is refused from now on. Find the request by its fingerprint and fix the endpoint."},
	{Number: IncarnationConflict, Name: "incarnation_conflict", Level: zerolog.WarnLevel, Meaning: "Two processes claim to be the node of one VM. Stop the one that should not run."},
	{Number: FirstCatalogue, Name: "first_catalogue", Level: zerolog.InfoLevel, Meaning: "A node that started, or woke up late, accepted a catalogue as current. The field opening says which sources had answered by then."},
	{Number: NoCatalogueFound, Name: "nothing_known", Level: zerolog.WarnLevel, Meaning: "A node that started found no catalogue, neither on the platform nor at a peer. It refuses calls until it gets one. Check the platform and the links to peers."},
	{Number: LeaveAnnounced, Name: "leave_announced", Level: zerolog.InfoLevel, Meaning: "The node announced to its peers that it accepts no new work."},
	{Number: StateAdopted, Name: "state_adopted", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The node started while the platform could not be read, and adopted the configuration of the given revision and a number of endpoints from another node. It uses them until the platform can be read again (2004)."},
	{Number: ReaderFound, Name: "reader_heard", Level: zerolog.InfoLevel, Meaning: "Another node of the availability zone reads the platform for this one and sends it the changes. This node has stopped reading."},
	{Number: ReaderLost, Name: "reader_lost", Level: zerolog.InfoLevel, Meaning: "The node that read the platform for this one sends no updates any more: it ended, is frozen, no longer reads, or is behind, or it runs and the platform has not confirmed its state lately. The field state_age is the time since the platform confirmed the state that this node has. This node reads the platform itself at once, and looks for a reader again after 5 s."},
	{Number: StoreRestored, Name: "store_restored", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The platform's store was restored from an older copy: its era has increased, and earlier revisions are no longer valid. The node reads everything again, keeps the configuration in force until a newer one is written, and keeps endpoints that the copy lacks for 2 s. Repeat the changes that were made after the copy."},
	{Number: PlatformCallLost, Name: "platform_call_lost", Level: zerolog.WarnLevel, Meaning: "A call to the platform got no answer in time. With reached true, the platform has answered on a new connection since: the earlier one went silent, and the node goes on from where it was. With false the platform is away, see 2003. If it occurs often, check what is between the node and the platform: it may drop connections without a reset."},
}
