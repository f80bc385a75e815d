package cleat

import "github.com/gravitational/trace"

// Kind returns KindHello.
func (*Hello) Kind() MessageKind { return KindHello }

// Kind returns KindOffers.
func (*Offers) Kind() MessageKind { return KindOffers }

// Kind returns KindGrants.
func (*Grants) Kind() MessageKind { return KindGrants }

// Kind returns KindDecline.
func (*Decline) Kind() MessageKind { return KindDecline }

// Kind returns KindDispatch.
func (*Dispatch) Kind() MessageKind { return KindDispatch }

// Kind returns KindBody.
func (*Body) Kind() MessageKind { return KindBody }

// Kind returns KindPart.
func (*Part) Kind() MessageKind { return KindPart }

// Kind returns KindPartAck.
func (*PartAck) Kind() MessageKind { return KindPartAck }

// Kind returns KindResume.
func (*Resume) Kind() MessageKind { return KindResume }

// Kind returns KindCancel.
func (*Cancel) Kind() MessageKind { return KindCancel }

// Kind returns KindRefused.
func (*Refused) Kind() MessageKind { return KindRefused }

// Kind returns KindAgentState.
func (*AgentState) Kind() MessageKind { return KindAgentState }

// Kind returns KindAsk.
func (*Ask) Kind() MessageKind { return KindAsk }

// Kind returns KindLedgerReport.
func (*LedgerReport) Kind() MessageKind { return KindLedgerReport }

// Kind returns KindLedgerSums.
func (*LedgerSums) Kind() MessageKind { return KindLedgerSums }

// Kind returns KindRegister.
func (*Register) Kind() MessageKind { return KindRegister }

// Kind returns KindMembers.
func (*Members) Kind() MessageKind { return KindMembers }

// Kind returns KindSettingsRead.
func (*SettingsRead) Kind() MessageKind { return KindSettingsRead }

// Kind returns KindSettings.
func (*Settings) Kind() MessageKind { return KindSettings }

// Kind returns KindClaim.
func (*Claim) Kind() MessageKind { return KindClaim }

// Kind returns KindClaimResult.
func (*ClaimResult) Kind() MessageKind { return KindClaimResult }

// Kind returns KindClaimOutcome.
func (*ClaimOutcome) Kind() MessageKind { return KindClaimOutcome }

// Kind returns KindOrder.
func (*Order) Kind() MessageKind { return KindOrder }

// Kind returns KindOrderResult.
func (*OrderResult) Kind() MessageKind { return KindOrderResult }

// Kind returns KindPeer.
func (*PeerMessage) Kind() MessageKind { return KindPeer }

// Kind returns KindPing.
func (*Ping) Kind() MessageKind { return KindPing }

// Kind returns KindStatusRead.
func (*StatusRead) Kind() MessageKind { return KindStatusRead }

// Kind returns KindStatusReport.
func (*StatusReport) Kind() MessageKind { return KindStatusReport }

// Kind returns KindReplicaChange.
func (*ReplicaChange) Kind() MessageKind { return KindReplicaChange }

// Kind returns KindReplicaChanged.
func (*ReplicaChanged) Kind() MessageKind { return KindReplicaChanged }

// Kind returns KindManifestRead.
func (*ManifestRead) Kind() MessageKind { return KindManifestRead }

// Kind returns KindManifestUpdate.
func (*ManifestUpdate) Kind() MessageKind { return KindManifestUpdate }

// Kind returns KindUpstreamUpdate.
func (*UpstreamUpdate) Kind() MessageKind { return KindUpstreamUpdate }

// Kind returns KindPlacementReport.
func (*PlacementReport) Kind() MessageKind { return KindPlacementReport }

// Kind returns KindStreamReport.
func (*StreamReport) Kind() MessageKind { return KindStreamReport }

// Kind returns KindStreamQuery.
func (*StreamQuery) Kind() MessageKind { return KindStreamQuery }

// Kind returns KindCrashReport.
func (*CrashReport) Kind() MessageKind { return KindCrashReport }

// Kind returns KindEvacuationUpdate.
func (*EvacuationUpdate) Kind() MessageKind { return KindEvacuationUpdate }

// Kind returns KindUpstreamExits.
func (*UpstreamExits) Kind() MessageKind { return KindUpstreamExits }

// NewMessage returns an empty message of kind k for a codec to decode into, or a
// trace.BadParameter error for an unknown kind.
func NewMessage(k MessageKind) (Message, error) {
	create, ok := messageTypes[k]
	if !ok {
		return nil, trace.BadParameter("NewMessage: unknown message kind %d", k)
	}
	return create(), nil
}

var messageTypes = map[MessageKind]func() Message{
	KindHello:           func() Message { return new(Hello) },
	KindOffers:          func() Message { return new(Offers) },
	KindGrants:          func() Message { return new(Grants) },
	KindDecline:         func() Message { return new(Decline) },
	KindDispatch:        func() Message { return new(Dispatch) },
	KindBody:            func() Message { return new(Body) },
	KindPart:            func() Message { return new(Part) },
	KindPartAck:         func() Message { return new(PartAck) },
	KindResume:          func() Message { return new(Resume) },
	KindCancel:          func() Message { return new(Cancel) },
	KindRefused:         func() Message { return new(Refused) },
	KindAgentState:      func() Message { return new(AgentState) },
	KindAsk:             func() Message { return new(Ask) },
	KindLedgerReport:    func() Message { return new(LedgerReport) },
	KindLedgerSums:      func() Message { return new(LedgerSums) },
	KindRegister:        func() Message { return new(Register) },
	KindMembers:         func() Message { return new(Members) },
	KindSettingsRead:    func() Message { return new(SettingsRead) },
	KindSettings:        func() Message { return new(Settings) },
	KindClaim:           func() Message { return new(Claim) },
	KindClaimResult:     func() Message { return new(ClaimResult) },
	KindClaimOutcome:    func() Message { return new(ClaimOutcome) },
	KindOrder:           func() Message { return new(Order) },
	KindOrderResult:     func() Message { return new(OrderResult) },
	KindPeer:            func() Message { return new(PeerMessage) },
	KindPing:            func() Message { return new(Ping) },
	KindStatusRead:      func() Message { return new(StatusRead) },
	KindStatusReport:    func() Message { return new(StatusReport) },
	KindReplicaChange:   func() Message { return new(ReplicaChange) },
	KindReplicaChanged:  func() Message { return new(ReplicaChanged) },
	KindManifestRead:    func() Message { return new(ManifestRead) },
	KindManifestUpdate:  func() Message { return new(ManifestUpdate) },
	KindUpstreamUpdate:  func() Message { return new(UpstreamUpdate) },
	KindPlacementReport: func() Message { return new(PlacementReport) },
	KindStreamReport:    func() Message { return new(StreamReport) },
	KindStreamQuery:     func() Message { return new(StreamQuery) },
	KindCrashReport:     func() Message { return new(CrashReport) },

	KindEvacuationUpdate: func() Message { return new(EvacuationUpdate) },
	KindUpstreamExits:    func() Message { return new(UpstreamExits) },
}
