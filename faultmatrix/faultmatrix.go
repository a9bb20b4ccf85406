// Package faultmatrix lists, for each fault and each kind of request, the test or the
// fault of the soak that plays it, why it cannot happen, or that it is open. A fault
// or a kind of request without a cell fails the test of package soak, and so does a fault
// of the soak that no cell names.
package faultmatrix

import (
	"fmt"
	"strings"
)

// Request is a kind of request.
type Request int

// The kinds of requests.
const (
	FirstStage Request = iota
	LaterStage
	Idempotent
	AtMostOnce
	Keyed
	Status
	Order
	OffPlatform
	requestCount
)

// requestNames are the headings of the columns.
var requestNames = [requestCount]string{
	"stream, first engine", "stream, later engine", "idempotent", "at most once", "keyed", "status query", "order", "off the platform",
}

// Fault is a fault that a server, the store, a link, a client or a process can bring.
type Fault int

// The faults.
const (
	CrashUnderRequest Fault = iota
	CrashBackAtOnce
	CrashBesideOthers
	ServerCrash
	Leaving
	RetryAfter
	RateLimit
	Silence
	ServerPauses
	NoAnswers
	HungStatus
	Slowness
	EndlessBytes
	LateSecondAnswer
	LateSecondRefusal
	ErrorInStream
	UnframedAnswer
	EarlyAnswerReset
	BrokenBytes
	InvalidHead
	CutHead
	LostAnswer
	ServerError
	ReusedAddress
	OddEntry
	OlderStore
	StoreTrouble
	SilentStore
	ClientLink
	ClientLeaves
	ClientLeftBefore
	CutOff
	OneWayCut
	ProcessPaused
	EntryRestarted
	AllEntriesRestarted
	PlannedStop
	ConfigurationChange
	ConfigurationGrows
	WrongDemand
	faultCount
)

var faultNames = [faultCount]string{
	"a request crashes each server that begins it", "a request crashes each server that begins it, and the server accepts connections again at once",
	"a request crashes each server that begins it, and its client leaves, servers fail it in between, or entries do not hear each other",
	"a server crashes or is replaced", "a server says in answers that it is leaving",
	"503 with Retry-After", "a server states a rate limit", "a server is silent", "a sound server falls silent for a second and goes on",
	"a server accepts requests and answers none, its status is good", "status queries hang while requests are served", "a server is slow",
	"bytes that are no answer, without end or slowly", "a late second answer", "an earlier refusal once more",
	"an error where a stream that has begun goes on", "an answer without a length",
	"an answer without a length to an upload that is not read, and a reset", "broken bytes",
	"an answer with a status that is none, or with a field name that is none",
	"a server stops in the middle of an answer's head",
	"an answer is lost", "a server fails requests", "an address is used by another server", "an odd entry among those of the servers",
	"the store comes back older",
	"the store is away, slow, compacted or loses answers", "the store accepts connections and answers nothing",
	"the client's link is in trouble", "a client leaves, also behind bytes of its next request",
	"a client has left before its request is read or sent", "an entry is cut off", "an entry is cut off from the store in one direction", "a process is paused",
	"an entry restarts", "all entries restart", "a planned stop", "the configuration changes", "the configuration outgrows what a thin link carries in a moment",
	"another entry reports demand that it does not have",
}

// Cell says what plays a fault for a kind of request. Exactly one of its parts is set,
// but for Tests and Soak, which may stand together.
type Cell struct {
	// Tests are names of tests, Soak those of faults of the soak.
	Tests, Soak []string
	// Bench names kinds of trouble that only the operators' bench plays.
	Bench string
	// Never says why the fault cannot happen.
	Never string
	// Open says what is missing.
	Open string
}

func tests(names ...string) Cell { return Cell{Tests: names} }

func soak(names ...string) Cell { return Cell{Soak: names} }

func both(test string, faults ...string) Cell { return Cell{Tests: []string{test}, Soak: faults} }

func bench(kinds string) Cell { return Cell{Bench: kinds} }

func never(reason string) Cell { return Cell{Never: reason} }

func open(what string) Cell { return Cell{Open: what} }

// Row is the cells of one fault.
type Row [requestCount]Cell

// Cells is the matrix.
var Cells = [faultCount]Row{
	CrashUnderRequest: {
		FirstStage:  both("TestRequestThatCrashesServersIsBlocked", "one stream request crashes engines", "prompts crash engines"),
		LaterStage:  tests("TestRequestThatCrashesLaterStagesIsBlocked"),
		Idempotent:  tests("TestRequestThatCrashesServersIsBlocked"),
		AtMostOnce:  both("TestRequestThatCrashesServersIsBlocked", "one request crashes application servers"),
		Keyed:       tests("TestKeyedCallThatCrashesServersIsBlocked"),
		Status:      never("no page or incident names it; a query carries nothing of a client"),
		Order:       never("no page or incident names it; an order carries nothing of a client"),
		OffPlatform: tests("TestCallThatCrashesServersIsBlocked", "TestLanguageRequestThatCrashesEnginesIsBlocked"),
	},
	CrashBackAtOnce: {
		FirstStage:  tests("TestRequestThatCrashesServersIsBlocked", "TestEndedExchangeIsNoCrash"),
		LaterStage:  open("the engine has no layers after its restart and is left for that; the request is not suspected"),
		Idempotent:  tests("TestRequestThatCrashesServersIsBlocked", "TestEndedExchangeIsNoCrash"),
		AtMostOnce:  tests("TestRequestThatCrashesServersIsBlocked", "TestEndedExchangeIsNoCrash"),
		Keyed:       open("the sidecar suspects a request only if its server accepts no connection"),
		Status:      never("a query carries nothing of a client"),
		Order:       never("an order carries nothing of a client"),
		OffPlatform: open("the sidecar suspects a request only if its server accepts no connection"),
	},
	CrashBesideOthers: {
		FirstStage:  tests("TestRequestThatCrashesServersIsBlockedDespiteDisruptions", "TestCrashesAreToldAfterCut", "TestCrashesOfBusyServersAreTold"),
		LaterStage:  open("a crash of a later engine after the client has left is not counted"),
		Idempotent:  tests("TestRequestThatCrashesServersIsBlockedDespiteDisruptions", "TestCrashesAreToldAfterCut"),
		AtMostOnce:  tests("TestRequestThatCrashesServersIsBlockedDespiteDisruptions", "TestCrashesAreToldAfterCut"),
		Keyed:       tests("TestCrashUnderAbandonedCallCounts", "TestCrashesCountWithoutAnswersInBetween"),
		Status:      never("a query carries nothing of a client"),
		Order:       never("an order carries nothing of a client"),
		OffPlatform: tests("TestCrashUnderAbandonedCallCounts", "TestCrashesCountWithoutAnswersInBetween", "TestCallThatFailsOrCrashesServersIsBlocked"),
	},
	ServerCrash: {
		FirstStage:  both("TestStreamResumesAfterLastEvent", "engine crashes", "engine replaced", "engine link reset"),
		LaterStage:  tests("TestStreamIsReroutedAroundStalledEngine"),
		Idempotent:  both("TestIdempotentIsRetried", "application server crashes", "application server replaced"),
		AtMostOnce:  both("TestAtMostOnceIsNotRetried", "application server crashes"),
		Keyed:       tests("TestKeyedCallRunsOnceWithoutRecordedOutcome", "TestKeyedCallThatCrashesServersIsBlocked"),
		Status:      tests("TestLostEngineReturnsWhenItResponds"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestConsecutiveStageLosses", "TestRandomFaults"),
	},
	Leaving: {
		FirstStage:  soak("engine leaves without a record"),
		LaterStage:  soak("engine leaves without a record"),
		Idempotent:  both("TestLeavingServerGetsNothingNew", "application server leaves without a record"),
		AtMostOnce:  tests("TestLeavingServerGetsNothingNew"),
		Keyed:       never("the sidecar drains its server"),
		Status:      never("an engine that leaves may be asked for its status"),
		Order:       soak("engine leaves without a record"),
		OffPlatform: tests("TestStageDrains", "TestPlainServerDrains"),
	},
	RetryAfter: {
		FirstStage:  both("TestPausedEngineGetsNoControlRequests", "engine asks for a pause"),
		LaterStage:  soak("engine asks for a pause"),
		Idempotent:  tests("TestPausesEndSpread"),
		AtMostOnce:  both("TestPausedServerGetsNothing", "application server asks for a pause"),
		Keyed:       tests("TestServerThatAskedForPauseGetsNoCalls"),
		Status:      tests("TestPausedEngineGetsNoControlRequests"),
		Order:       tests("TestPausedEngineGetsNoControlRequests"),
		OffPlatform: tests("TestServerThatAskedForPauseGetsNoCalls"),
	},
	RateLimit: {
		FirstStage:  both("TestStatedLimitHoldsForAllEntriesTogether", "engine states a rate limit"),
		LaterStage:  tests("TestStatedLimitOfEnginesOnPaths"),
		Idempotent:  tests("TestStatedLimitHoldsForAllEntriesTogether"),
		AtMostOnce:  both("TestStatedLimitHoldsForAllEntriesTogether", "application servers state a rate limit"),
		Keyed:       tests("TestCallsKeepRateLimitOfServer"),
		Status:      tests("TestControlRequestsCountForLimit"),
		Order:       tests("TestControlRequestsCountForLimit"),
		OffPlatform: tests("TestCallsKeepRateLimitOfServer", "TestStagesKeepRateLimitOfEngine"),
	},
	Silence: {
		FirstStage:  both("TestLastAttemptIsNotAbandonedForSilence", "engine unresponsive", "engine link stalled"),
		LaterStage:  both("TestStreamIsReroutedAroundStalledEngine", "engine unresponsive"),
		Idempotent:  tests("TestSilentServerIsLeft"),
		AtMostOnce:  tests("TestSilentServerIsLeft"),
		Keyed:       open("a silent plain server holds a call until its timeout; the sidecar does not tell it from a busy one"),
		Status:      tests("TestOnlyOneTimeoutAtATimeCounts"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestHungStage", "TestSilentLink"),
	},
	ServerPauses: {
		FirstStage:  Cell{Tests: []string{"TestStreamOutlastsPauseOfItsEngine", "TestRequestOutlastsPauseInHeadOfAnswer", "TestStreamsLeaveSilentEngineOnlyWithPlaceElsewhere"}, Soak: []string{"engines silent for a second"}},
		LaterStage:  tests("TestStreamOutlastsPauseOfLaterEngine"),
		Idempotent:  Cell{Tests: []string{"TestCallOutlastsPauseOfItsServer", "TestRequestOutlastsPauseInHeadOfAnswer", "TestLongAnswerOutlastsPauseOfItsServer", "TestLongAnswerMayTakeItsTime"}, Soak: []string{"application servers silent for a second"}},
		AtMostOnce:  Cell{Tests: []string{"TestCallOutlastsPauseOfItsServer", "TestRequestOutlastsPauseInHeadOfAnswer", "TestLongAnswerOutlastsPauseOfItsServer"}, Soak: []string{"application servers silent for a second"}},
		Keyed:       open("not played; a call waits for its server until its timeout"),
		Status:      tests("TestStreamIsWholeThoughItsEnginePausesAfterwards"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: open("calls: `TestPlainCallOutlastsPauseOfItsServer`; the stages of an engine that is silent for 0.3 s are run again elsewhere"),
	},
	NoAnswers: {
		FirstStage:  both("TestNewStreamsAvoidEngineThatAnswersNothing", "engine answers no requests"),
		LaterStage:  never("an entry sends requests to the first engine of a path only"),
		Idempotent:  tests("TestCallsLeaveServerThatAnswersNothing"),
		AtMostOnce:  tests("TestCallsLeaveServerThatAnswersNothing"),
		Keyed:       open("a server that answers no calls holds a call until its timeout; the sidecar does not tell it from a busy one"),
		Status:      never("the status is good"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestHungStage"),
	},
	HungStatus: {
		FirstStage:  both("TestEngineThatServesIsNotLostWithoutStatus", "engine answers no status queries"),
		LaterStage:  both("TestEngineThatServesIsNotLostWithoutStatus", "engine answers no status queries"),
		Idempotent:  never("application servers are not asked for their status"),
		AtMostOnce:  never("application servers are not asked for their status"),
		Keyed:       never("application servers are not asked for their status"),
		Status:      tests("TestHungStatusQueriesDoNotCostTheLease"),
		Order:       tests("TestHungStatusQueriesDoNotCostTheLease"),
		OffPlatform: never("sidecars watch their servers themselves"),
	},
	Slowness: {
		FirstStage:  both("TestSlowStreamIsNotCut", "engine link delayed"),
		LaterStage:  soak("engine link delayed"),
		Idempotent:  bench("srv_slow"),
		AtMostOnce:  bench("srv_slow"),
		Keyed:       tests("TestCallSurvivesConnectionLoss"),
		Status:      tests("TestStallTimeoutIsLongerAfterStart"),
		Order:       soak("engine link delayed"),
		OffPlatform: tests("TestLongPromptDoesNotTriggerRecovery"),
	},
	EndlessBytes: {
		FirstStage:  tests("TestEndlessResponsesAreCut", "TestDrippingStreamIsResumed"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  both("TestEndlessResponsesAreCut", "application sends without end", "application drips"),
		AtMostOnce:  both("TestDrippingServerDoesNotHoldRequest", "application sends without end", "application drips"),
		Keyed:       tests("TestEndlessResponsesOfServerAreCut"),
		Status:      tests("TestEndlessResponsesAreCut"),
		Order:       tests("TestEndlessResponsesAreCut"),
		OffPlatform: tests("TestEndlessResponsesOfServerAreCut", "TestEndlessResponsesShareMemory", "TestEndlessResultsOfEngineAreCut"),
	},
	LateSecondAnswer: {
		FirstStage:  tests("TestResponseToAnotherRequestIsSkipped"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  both("TestConnectionWithExtraBytesIsNotReused", "application responds twice", "application sends extra bytes"),
		AtMostOnce:  both("TestRequestWithoutIDGetsItsOwnConnection", "application responds twice"),
		Keyed:       never("the sidecar uses a connection to its server for one call"),
		Status:      never("the HTTP client closes a connection on which an answer arrives that nobody waits for"),
		Order:       never("as for status queries"),
		OffPlatform: never("the sidecar uses a connection to its server for one call"),
	},
	LateSecondRefusal: {
		FirstStage:  tests("TestRefusedRequestGetsAnotherConnection"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  tests("TestRepeatedRefusalIsNotTakenForAnswer", "TestRefusedRequestGetsAnotherConnection"),
		AtMostOnce:  tests("TestRepeatedRefusalIsNotTakenForAnswer", "TestRefusedRequestGetsAnotherConnection"),
		Keyed:       never("the sidecar uses a connection to its server for one call"),
		Status:      never("the HTTP client closes a connection on which an answer arrives that nobody waits for"),
		Order:       never("as for status queries"),
		OffPlatform: never("the sidecar uses a connection to its server for one call"),
	},
	ErrorInStream: {
		FirstStage:  tests("TestErrorOfNextEngineStaysOutOfStream", "TestUnsignedStreamIsNotForwarded"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  never("no other server continues an answer"),
		AtMostOnce:  never("no other server continues an answer"),
		Keyed:       never("no other server continues an answer"),
		Status:      never("no other server continues an answer"),
		Order:       never("no other server continues an answer"),
		OffPlatform: never("entries write tokens that sidecars send as messages, and no bytes of engines"),
	},
	UnframedAnswer: {
		FirstStage:  both("TestUnframedStreams", "engine sends streams without chunks"),
		LaterStage:  tests("TestUnframedStreamIsNotWholeWithoutLaterEngine"),
		Idempotent:  both("TestUnframedAnswers", "application sends responses without a length"),
		AtMostOnce:  tests("TestUnframedAnswers", "TestAnswerOfCrashedServerIsNotWhole"),
		Keyed:       tests("TestTruncatedResponse"),
		Status:      tests("TestUnframedAndBrokenEngineAnswers"),
		Order:       tests("TestUnframedAndBrokenEngineAnswers"),
		OffPlatform: tests("TestTruncatedResponse"),
	},
	BrokenBytes: {
		FirstStage:  both("TestBrokenResponsesAreNotForwarded"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  both("TestBrokenResponsesAreNotForwarded", "application truncates responses"),
		AtMostOnce:  both("TestBrokenResponsesAreNotForwarded", "application truncates responses"),
		Keyed:       tests("TestTruncatedResponse"),
		Status:      tests("TestUnframedAndBrokenEngineAnswers"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestTruncatedResponse"),
	},
	EarlyAnswerReset: {
		FirstStage:  tests("TestEarlyAnswerThatIsResetIsNotWhole", "TestAnswerWithoutLengthSaysNothingUntilRequestIsWritten", "TestStreamResetWhileItIsLookedAtIsNotWhole"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  tests("TestEarlyAnswerThatIsResetIsNotWhole", "TestAnswerWithoutLengthSaysNothingUntilRequestIsWritten"),
		AtMostOnce:  tests("TestEarlyAnswerThatIsResetIsNotWhole", "TestAnswerWithoutLengthSaysNothingUntilRequestIsWritten"),
		Keyed:       tests("TestTruncatedResponse"),
		Status:      never("a query has no body"),
		Order:       never("an order is written together with its header, and the status line says all"),
		OffPlatform: tests("TestTruncatedResponse", "TestCutResultsOfEngineAreNotWhole"),
	},
	InvalidHead: {
		FirstStage:  tests("TestStatusThatIsNoAnswer", "TestFieldNameThatIsNoNameIsNoAnswer"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  tests("TestStatusThatIsNoAnswer", "TestFieldNameThatIsNoNameIsNoAnswer"),
		AtMostOnce:  tests("TestStatusThatIsNoAnswer", "TestFieldNameThatIsNoNameIsNoAnswer"),
		Keyed:       tests("TestHeadThatIsNoAnswerFailsCall"),
		Status:      tests("TestUnframedAndBrokenEngineAnswers"),
		Order:       tests("TestUnframedAndBrokenEngineAnswers", "TestHeadThatIsNoAnswerLeavesOrderUnconfirmed"),
		OffPlatform: tests("TestHeadThatIsNoAnswerFailsCall", "TestHeadThatIsNoAnswerSaysNothingOfEngine"),
	},
	CutHead: {
		FirstStage:  tests("TestAnswerCutInItsHeadIsNotComplete"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  tests("TestAnswerCutInItsHeadIsNotComplete"),
		AtMostOnce:  tests("TestAnswerCutInItsHeadIsNotComplete"),
		Keyed:       tests("TestAnswerCutInItsHeadIsNotComplete"),
		Status:      tests("TestUnframedAndBrokenEngineAnswers"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestAnswerCutInItsHeadIsNotComplete"),
	},
	LostAnswer: {
		FirstStage:  tests("TestStreamResumesAfterLastEvent", "TestNonResumableStreamBreaksOff"),
		LaterStage:  never("an entry reads nothing from a later engine"),
		Idempotent:  both("TestLostAnswersAreNoCrashes", "application loses responses"),
		AtMostOnce:  both("TestAtMostOnceIsNotRetried", "application loses responses"),
		Keyed:       tests("TestMachineUnconfirmedAppend"),
		Status:      tests("TestOnlyOneTimeoutAtATimeCounts"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestCallSurvivesConnectionLoss"),
	},
	ServerError: {
		FirstStage:  tests("TestErrorResponses"),
		LaterStage:  tests("TestRerouteAvoidsUnavailableStage"),
		Idempotent:  both("TestIdempotentIsRetried", "application fails requests"),
		AtMostOnce:  both("TestUnmarkedRefusalIsNotForwarded", "application fails requests"),
		Keyed:       tests("TestMachineRecordsOutcome"),
		Status:      bench("srv_grey"),
		Order:       tests("TestOrderOutcomes"),
		OffPlatform: tests("TestRandomFaults"),
	},
	ReusedAddress: {
		FirstStage:  bench("replace_with_reuse"),
		LaterStage:  bench("replace_with_reuse"),
		Idempotent:  bench("replace_with_reuse"),
		AtMostOnce:  bench("replace_with_reuse"),
		Keyed:       never("each work names the incarnation of the sidecar that must run it"),
		Status:      tests("TestLostEngineReturnsWhenItResponds"),
		Order:       tests("TestOrderIsNotSentOnOutdatedRecord"),
		OffPlatform: never("each work names the incarnation of the sidecar that must run it"),
	},
	OddEntry: {
		FirstStage:  tests("TestOddServerRecordsNameNoServer", "TestImpossibleFiguresOfServersDoNoHarm"),
		LaterStage:  tests("TestOddServerRecordsNameNoServer", "TestImpossibleFiguresOfServersDoNoHarm"),
		Idempotent:  tests("TestOddServerRecordsNameNoServer"),
		AtMostOnce:  tests("TestOddServerRecordsNameNoServer"),
		Keyed:       tests("TestOddInstanceHidesNoOther"),
		Status:      tests("TestOddServerRecordsNameNoServer"),
		Order:       tests("TestOddServerRecordsNameNoServer", "TestImpossibleFiguresOfServersDoNoHarm"),
		OffPlatform: tests("TestOddInstanceHidesNoOther"),
	},
	OlderStore: {
		FirstStage:  both("TestServersAfterRestore", "store restored from an older copy"),
		LaterStage:  both("TestServersAfterRestore", "store restored from an older copy"),
		Idempotent:  both("TestConfigurationAfterRestore", "store restored from an older copy"),
		AtMostOnce:  both("TestConfigurationAfterRestore", "store restored from an older copy"),
		Keyed:       never("the log service off the platform has no older copies"),
		Status:      never("a query names no record of the store"),
		Order:       tests("TestOrderIsNotSentOnOutdatedRecord", "TestHolderClaimsLeaseAgainAfterRestore"),
		OffPlatform: never("the log service off the platform has no older copies"),
	},
	StoreTrouble: {
		FirstStage:  soak("store refuses requests", "store slow", "store loses responses", "store log compacted"),
		LaterStage:  soak("store refuses requests", "store slow", "store loses responses", "store log compacted"),
		Idempotent:  soak("store refuses requests", "store slow", "store loses responses", "store log compacted"),
		AtMostOnce:  soak("store refuses requests", "store slow", "store loses responses", "store log compacted"),
		Keyed:       tests("TestMachineOutage", "TestMachineUnconfirmedAppend"),
		Status:      never("a query does not need the store"),
		Order:       tests("TestOneEntryHoldsTheLease", "TestOneHolderAtATime"),
		OffPlatform: tests("TestMachineOutage"),
	},
	SilentStore: {
		FirstStage:  both("TestServersAfterOutage", "store silent", "store silent for a second"),
		LaterStage:  both("TestServersAfterOutage", "store silent"),
		Idempotent:  both("TestChangesAfterSilentStore", "store silent"),
		AtMostOnce:  both("TestChangesAfterSilentStore", "store silent"),
		Keyed:       tests("TestMachineOutage", "TestMachineUnconfirmedAppend"),
		Status:      never("a query does not need the store"),
		Order:       tests("TestChangesAfterSilentStore"),
		OffPlatform: tests("TestMachineOutage"),
	},
	ClientLink: {
		FirstStage:  both("TestClientDisconnectEndsAttempt", "client link delayed", "client link reset", "client link stalled", "client link responses stalled"),
		LaterStage:  tests("TestClientDisconnectEndsAttempt", "TestClientThatDoesNotReadIsLeftInTime"),
		Idempotent:  both("TestHalfClosedClientGetsNoEmptyResponse", "client link delayed", "client link reset", "client link stalled"),
		AtMostOnce:  both("TestUnfinishedBodyIsRefusedAtDeadline", "client link delayed", "client link reset", "client link stalled"),
		Keyed:       tests("TestClientDisconnectsDuringCall"),
		Status:      never("no client is involved"),
		Order:       never("no client is involved"),
		OffPlatform: tests("TestClientDisconnectsDuringCall", "TestClientDisconnectsDuringStream", "TestClientReadsNoResponse"),
	},
	ClientLeaves: {
		FirstStage:  tests("TestServerStopsWhenClientLeaves", "TestUnsentRequestEndsWhenClientLeaves"),
		LaterStage:  tests("TestServerStopsWhenClientLeaves"),
		Idempotent:  tests("TestServerStopsWhenClientLeaves", "TestUnsentRequestEndsWhenClientLeaves"),
		AtMostOnce:  tests("TestServerStopsWhenClientLeaves", "TestUnsentRequestEndsWhenClientLeaves"),
		Keyed:       tests("TestClientDisconnectsDuringCall", "TestClientServerNoticesThatClientLeaves"),
		Status:      never("no client is involved"),
		Order:       never("no client is involved"),
		OffPlatform: tests("TestClientServerNoticesThatClientLeaves", "TestRequestEndsWhenClientLeaves", "TestCancelThatOvertakesStepFreesRequest"),
	},
	ClientLeftBefore: {
		FirstStage:  tests("TestRequestOfClientThatLeftIsNotSent"),
		LaterStage:  never("later engines are reached through the first one"),
		Idempotent:  tests("TestRequestOfClientThatLeftIsNotSent"),
		AtMostOnce:  tests("TestRequestOfClientThatLeftIsNotSent"),
		Keyed:       open("the same check stands before each attempt, but no test plays it with a key"),
		Status:      never("no client is involved"),
		Order:       never("no client is involved"),
		OffPlatform: tests("TestRequestOfClientThatLeftIsNotSent"),
	},
	CutOff: {
		FirstStage:  soak("engine link stalled", "store link stalled", "store link responses stalled", "store link reset", "store link delayed"),
		LaterStage:  soak("engine link stalled"),
		Idempotent:  soak("store link stalled", "store link responses stalled"),
		AtMostOnce:  soak("store link stalled", "store link responses stalled"),
		Keyed:       tests("TestCallSurvivesConnectionLoss"),
		Status:      tests("TestPollTellsLostEnginesFromOwnDisconnection"),
		Order:       tests("TestOrderIsNotSentAfterLeaseExpires"),
		OffPlatform: tests("TestSilentLink", "TestAttemptsOfUnreachableEntryAreReleased"),
	},
	OneWayCut: {
		FirstStage:  soak("store link requests stalled", "store link responses stalled"),
		LaterStage:  soak("store link requests stalled", "store link responses stalled"),
		Idempotent:  soak("store link requests stalled", "store link responses stalled"),
		AtMostOnce:  soak("store link requests stalled", "store link responses stalled"),
		Keyed:       tests("TestCallSurvivesConnectionLoss"),
		Status:      tests("TestLeaseMovesWhenHolderIsCutOffOneWay"),
		Order:       tests("TestLeaseMovesWhenHolderIsCutOffOneWay", "TestOrderIsNotSentAfterLeaseExpires"),
		OffPlatform: tests("TestSilentLink"),
	},
	ProcessPaused: {
		FirstStage:  both("TestRequestIsNotSentAfterSuspension", "entry paused"),
		LaterStage:  soak("entry paused"),
		Idempotent:  both("TestConfigurationIsReadAgainAfterPause", "entry paused"),
		AtMostOnce:  both("TestRequestIsNotSentAfterSuspension", "entry paused"),
		Keyed:       tests("TestMachineResumedAfterDeadline"),
		Status:      soak("entry paused"),
		Order:       tests("TestOrderIsNotSentAfterLeaseExpires"),
		OffPlatform: tests("TestPausedLedgerKeepsTombstone"),
	},
	EntryRestarted: {
		FirstStage:  soak("entry killed"),
		LaterStage:  soak("entry killed"),
		Idempotent:  soak("entry killed"),
		AtMostOnce:  soak("entry killed"),
		Keyed:       tests("TestKeyedCallRunsOnceWithoutRecordedOutcome"),
		Status:      soak("entry killed"),
		Order:       tests("TestOldMessageIsNoRelease"),
		OffPlatform: tests("TestCallOutcomeIsUnknownAfterSidecarRestart", "TestAttemptsOfUnreachableEntryAreReleased"),
	},
	AllEntriesRestarted: {
		FirstStage:  both("TestBlockOutlivesEntries", "all entries killed"),
		LaterStage:  soak("all entries killed"),
		Idempotent:  soak("all entries killed"),
		AtMostOnce:  soak("all entries killed"),
		Keyed:       tests("TestTrimmedStateEqualsFreshState"),
		Status:      soak("all entries killed"),
		Order:       tests("TestTakeOver"),
		OffPlatform: tests("TestEntriesShareCrashes"),
	},
	PlannedStop: {
		FirstStage:  both("TestRelayAwaitsArrivingRequest", "entry asked to stop", "entries asked to stop in turn"),
		LaterStage:  soak("entry asked to stop"),
		Idempotent:  both("TestRelayClosesIdleConnectionsOnShutdown", "entry asked to stop"),
		AtMostOnce:  Cell{Tests: []string{"TestClosedListenerReturnsWaitingConnections", "TestStoppingRelayAnswersAllRequests", "TestRelayStoppedBeforeConfigurationAnswersRequests"}, Soak: []string{"entry asked to stop"}},
		Keyed:       tests("TestSystem"),
		Status:      soak("entry asked to stop"),
		Order:       tests("TestReleasedLeaseIsTakenAtOnce"),
		OffPlatform: tests("TestSystem", "TestDrainingEntryRefuses", "TestEndOfProcessAnswersRequests", "TestProcessesStoppedBeforeConfigurationDrain"),
	},
	ConfigurationChange: {
		FirstStage:  soak("configuration changes", "entry asked to reload"),
		LaterStage:  soak("configuration changes"),
		Idempotent:  both("TestConfigurationNeverGoesBack", "configuration changes", "entry asked to reload"),
		AtMostOnce:  both("TestSupersededRevisionsAreNotDecoded", "configuration changes"),
		Keyed:       bench("no kind of its own; the key's claim names no revision"),
		Status:      never("a query does not depend on the configuration"),
		Order:       tests("TestStreamsLeaveEngineThatDropsLayers"),
		OffPlatform: tests("TestSystem"),
	},
	ConfigurationGrows: {
		FirstStage:  tests("TestGrownConfigurationArrivesOverThinLink", "TestAnnouncementsSpareResponseThatIsDue", "TestSeriesOfLargeConfigurationsIsNotReadOneByOne"),
		LaterStage:  never("a request is judged where it enters"),
		Idempotent:  tests("TestGrownConfigurationArrivesOverThinLink"),
		AtMostOnce:  tests("TestGrownConfigurationArrivesOverThinLink"),
		Keyed:       tests("TestLargeReadArrivesOverThinLink"),
		Status:      never("a query needs no route"),
		Order:       never("an order needs no route"),
		OffPlatform: tests("TestLargeReadArrivesOverThinLink"),
	},
	WrongDemand: {
		FirstStage:  tests("TestRoomIsKeptOnlyWhileNeeded", "TestStartedWorkOfOneEntryIsBounded"),
		LaterStage:  never("paths leave room on all their engines alike; see the first engine"),
		Idempotent:  never("room is kept for streams only"),
		AtMostOnce:  never("room is kept for streams only"),
		Keyed:       never("room is kept for streams only"),
		Status:      never("a query needs no room"),
		Order:       never("an order needs no room"),
		OffPlatform: never("entries of the fleet do not report demand to each other"),
	},
}

// String returns the cell as one line of text.
func (c Cell) String() string {
	switch {
	case c.Open != "":
		return "**open**: " + c.Open
	case c.Never != "":
		return "cannot happen: " + c.Never
	case c.Bench != "":
		return "bench: " + c.Bench
	}
	var parts []string
	for _, name := range c.Tests {
		parts = append(parts, "`"+name+"`")
	}
	for _, name := range c.Soak {
		parts = append(parts, "soak: "+name)
	}
	return strings.Join(parts, "; ")
}

// Check returns what is wrong with a cell by itself, or "".
func (c Cell) Check() string {
	played := 0
	for _, set := range []bool{len(c.Tests)+len(c.Soak) > 0, c.Bench != "", c.Never != "", c.Open != ""} {
		if set {
			played++
		}
	}
	if played != 1 {
		return fmt.Sprintf("%d of tests, bench, never and open are set; must be 1", played)
	}
	return ""
}

// Markdown returns the matrix as a page, one section for each fault.
func Markdown() string {
	var b strings.Builder
	for fault, row := range Cells {
		fmt.Fprintf(&b, "## %s\n\n| request | played by |\n| --- | --- |\n", strings.ToUpper(faultNames[fault][:1])+faultNames[fault][1:])
		for request, cell := range row {
			fmt.Fprintf(&b, "| %s | %s |\n", requestNames[request], cell)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// Describe names a cell in messages.
func Describe(fault, request int) string { return faultNames[fault] + " / " + requestNames[request] }
