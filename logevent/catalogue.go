package logevent

import "github.com/phuslu/log"

// The event numbers, by group: 1xxx process, 2xxx entry, 3xxx sidecar, 4xxx
// configuration and log service, 5xxx orders to engines, 6xxx service levels.
const (
	ProcessStarted        Event = 1001
	ProcessDraining       Event = 1002
	ProcessStopped        Event = 1003
	DrainIncomplete       Event = 1004
	SettingsRejected      Event = 1005
	TLSKeysReloaded       Event = 1006
	TLSKeysRejected       Event = 1007
	SettingsUnchanged     Event = 1008
	ClientsGivenUp        Event = 1009
	RequestFinished       Event = 2001
	RequestRefused        Event = 2002
	StageLost             Event = 2003
	StageReplaced         Event = 2004
	SidecarConnected      Event = 2005
	SidecarDisconnected   Event = 2006
	InstanceListRejected  Event = 2007
	InstanceEntryUnusable Event = 2070
	RelayRequestFinished  Event = 2008
	StallQueried          Event = 2016
	EngineLost            Event = 2017
	EngineSuspected       Event = 2018
	EngineReturned        Event = 2019

	EngineCrashedUnderRequest Event = 2020
	PromptPartBlocked         Event = 2021
	PromptPartReleased        Event = 2022
	BlockNotSaved             Event = 2023
	BlockRecordUnreadable     Event = 2024
	ServerSaidLeaving         Event = 2025
	ServerPaused              Event = 2026
	PromptPartProbed          Event = 2027
	RateLimitStated           Event = 2028
	RateLimitLifted           Event = 2029
	RateLimitUnreadable       Event = 2030
	ServerLeavesUnanswered    Event = 2035
	CallWaited                Event = 2036
	RoomKept                  Event = 2040
	RoomReleased              Event = 2041
	RetriesInherited          Event = 2046
	StreamNotAwaited          Event = 2031
	EngineRefuses             Event = 2050
	ServersChanged            Event = 2060

	StreamRerouted         Event = 2015
	StreamRecovered        Event = 2009
	ServerChanged          Event = 2010
	ServerRecordRemoved    Event = 2011
	ServerRecordUnreadable Event = 2012
	LogLinesSkipped        Event = 2013
	EntryRecordUnreadable  Event = 2014
	AttemptRefused         Event = 3001
	EngineDown             Event = 3002
	EngineUp               Event = 3003
	RevisionActivated      Event = 4001
	RevisionRejected       Event = 4002
	LogUnavailable         Event = 4003
	LogAvailable           Event = 4004
	RevisionNewerSchema    Event = 4005
	RevisionFromPeer       Event = 4006
	StoreUnavailable       Event = 4007
	StoreAvailable         Event = 4008

	ConfigurationUnreadable Event = 4009

	LeaseAcquired        Event = 4010
	LeaseReleased        Event = 4011
	ProcessWasHeldUp     Event = 4012
	StoreRestored        Event = 4013
	StoreReadInterrupted Event = 4014
	OrderSent            Event = 5001
	OrderRefused         Event = 5002
	OrderCompleted       Event = 5003
	PlanningFailed       Event = 5004
	LayersPlanned        Event = 5008
	EngineStatusReceived Event = 5006
	EngineStatusMissing  Event = 5007
	RolloutBlocked       Event = 5005
	BurnRateExceeded     Event = 6001
	BurnRateRecovered    Event = 6002
)

var catalogue = []Definition{
	{ProcessStarted, log.InfoLevel, "process started", ""},
	{ProcessDraining, log.InfoLevel, "process is draining", ""},
	{ProcessStopped, log.InfoLevel, "process stopped", ""},
	{DrainIncomplete, log.WarnLevel, "process ended with requests in progress", "Check why the drain did not finish; the line counts what was cut off."},
	{SettingsRejected, log.ErrorLevel, "settings rejected", "Correct the settings that the line names."},
	{TLSKeysReloaded, log.InfoLevel, "TLS keys reloaded", ""},
	{TLSKeysRejected, log.ErrorLevel, "TLS keys could not be reloaded", "The old keys stay in use; replace the files."},
	{SettingsUnchanged, log.InfoLevel, "reload asked for; nothing to change in a running process", ""},
	{ClientsGivenUp, log.WarnLevel, "too many connections or large headers of clients", "Find out who opens them; callers with whole requests are served first. Add entries if they are all callers."},
	{RequestFinished, log.DebugLevel, "request finished", ""},
	{RequestRefused, log.InfoLevel, "request refused", ""},
	{StageLost, log.WarnLevel, "pipeline stage lost", "Check the instance that the line names if it does not return."},
	{StageReplaced, log.InfoLevel, "pipeline stage replaced", ""},
	{SidecarConnected, log.InfoLevel, "sidecar connected", ""},
	{SidecarDisconnected, log.WarnLevel, "sidecar disconnected", ""},
	{InstanceEntryUnusable, log.WarnLevel, "entry of the instance list names no instance", "Find out which program writes the entry; the others are used."},
	{InstanceListRejected, log.WarnLevel, "instance list distrusted", "Check the platform's instance list; the last good list stays in use."},
	{RelayRequestFinished, log.InfoLevel, "passed request finished", ""},
	{StreamRecovered, log.WarnLevel, "stream goes on along another path", "Check the engines that the line names if they do not return."},
	{StallQueried, log.DebugLevel, "engine asked what its work waits for", ""},
	{EngineLost, log.InfoLevel, "engine taken for lost", ""},
	{EngineSuspected, log.InfoLevel, "engine suspected after a refusal", ""},
	{EngineReturned, log.InfoLevel, "lost engine works again", ""},
	{EngineRefuses, log.InfoLevel, "engine refuses stages although it should have room", ""},
	{EngineCrashedUnderRequest, log.InfoLevel, "backend server crashed before it answered a request", ""},
	{PromptPartBlocked, log.WarnLevel, "prompt part blocked: it crashes engines", "Find out what the part holds and why the engines crash."},
	{PromptPartReleased, log.WarnLevel, "prompt part released", ""},
	{PromptPartProbed, log.InfoLevel, "one request with a blocked prompt part let through", ""},
	{BlockNotSaved, log.WarnLevel, "blocked prompt part could not be saved", "It is saved again each second; check the store if the line repeats."},
	{BlockRecordUnreadable, log.WarnLevel, "record of a blocked prompt part cannot be read", "Find out which program writes the record."},
	{ServerSaidLeaving, log.InfoLevel, "backend server says that it is leaving", ""},
	{ServerPaused, log.InfoLevel, "backend server asked for a pause", ""},
	{RateLimitStated, log.InfoLevel, "backend server states a rate limit", ""},
	{RateLimitLifted, log.InfoLevel, "backend server states no rate limit any more", ""},
	{RateLimitUnreadable, log.WarnLevel, "rate limit of a backend server cannot be read", "Find out what the server means; the last limit that was read stays in force."},
	{ServerLeavesUnanswered, log.WarnLevel, "backend server accepts requests and does not answer them", "Its status may be good all the same. New requests go elsewhere for 2 to 8 s, then one shows whether it answers again; restart it if the line repeats."},
	{CallWaited, log.InfoLevel, "call waited because the servers of its service had refused calls", ""},
	{RoomKept, log.InfoLevel, "less urgent streams leave room to more urgent ones", "See docs/OPERATIONS.md, section on ranks; add engines if the line stays without its counterpart."},
	{RoomReleased, log.InfoLevel, "room kept for more urgent streams given back", ""},
	{RetriesInherited, log.InfoLevel, "retries of an earlier process of this entry count against its budget", ""},
	{StreamNotAwaited, log.InfoLevel, "stream refused while it waited for a path", ""},
	{StreamRerouted, log.InfoLevel, "stream's path changed", ""},
	{ServerChanged, log.InfoLevel, "backend server changed", ""},
	{ServersChanged, log.InfoLevel, "many backend servers changed at once", "Only some are logged one by one; the line counts all of them."},
	{ServerRecordRemoved, log.InfoLevel, "backend server's record is gone", ""},
	{ServerRecordUnreadable, log.WarnLevel, "backend server's record cannot be read", "Find out which program writes the record."},
	{EntryRecordUnreadable, log.WarnLevel, "another entry's record cannot be read", "Find out which program writes the record."},
	{LogLinesSkipped, log.InfoLevel, "log lines of requests left out", ""},
	{AttemptRefused, log.InfoLevel, "attempt refused", ""},
	{EngineDown, log.ErrorLevel, "backend server does not answer", "Restart the backend server."},
	{EngineUp, log.InfoLevel, "backend server answers", ""},
	{RevisionActivated, log.InfoLevel, "configuration revision in force", ""},
	{RevisionRejected, log.WarnLevel, "configuration proposal rejected", "Publish again on the current revision."},
	{LogUnavailable, log.WarnLevel, "log service unavailable", "The revision in force stays; keyed calls may be refused."},
	{LogAvailable, log.InfoLevel, "log service available", ""},
	{RevisionNewerSchema, log.ErrorLevel, "configuration record has a newer schema", "Upgrade this process."},
	{RevisionFromPeer, log.InfoLevel, "configuration revision taken from a peer", ""},
	{StoreUnavailable, log.WarnLevel, "store does not answer", "What was read last stays in force; check the store if it does not return."},
	{StoreAvailable, log.InfoLevel, "store answers again", ""},
	{ConfigurationUnreadable, log.ErrorLevel, "configuration record cannot be read", "Publish a configuration that this program version can read."},
	{LeaseAcquired, log.InfoLevel, "lease for placing layers taken", ""},
	{LeaseReleased, log.InfoLevel, "lease for placing layers released", ""},
	{ProcessWasHeldUp, log.WarnLevel, "process was held up; configuration is read again", "Check the load of the instance if the line repeats."},
	{StoreReadInterrupted, log.InfoLevel, "read of the store interrupted: another entry has newer data", "Check the link to the store if the line repeats at one entry."},
	{StoreRestored, log.WarnLevel, "store came back from an older copy", "Check that the operators' last change is there; the entries write their own records again."},
	{OrderSent, log.InfoLevel, "order given to engine", ""},
	{LayersPlanned, log.InfoLevel, "orders planned", "The line holds what decided; the orders follow."},
	{OrderRefused, log.WarnLevel, "order refused by engine", ""},
	{OrderCompleted, log.InfoLevel, "order carried out by engine", ""},
	{EngineStatusReceived, log.DebugLevel, "engine reported its state", ""},
	{EngineStatusMissing, log.InfoLevel, "engine did not report its state", "Check the engine if it stays silent."},
	{PlanningFailed, log.WarnLevel, "no placement plan could be made", "Add engines or memory for the model that the line names; the plan in force stays."},
	{RolloutBlocked, log.WarnLevel, "rollout of a version is blocked", "Remove the reason that the line names; the old version goes on serving."},
	{BurnRateExceeded, log.ErrorLevel, "service-level objective burns too fast", "See docs/OPERATIONS.md, section on service levels."},
	{BurnRateRecovered, log.InfoLevel, "service-level objective no longer burns too fast", ""},
}
