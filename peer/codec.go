// Package peer sends and receives the messages between instances over gRPC and routes them to the tasks of this
// instance.
package peer

import (
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// encode returns the protobuf form of a message, or an error if the message is local to an instance.
func (encoder *encoder) encode(message coltsfootlink.Message) (*peerpb.Message, error) {
	switch message := message.(type) {
	case coltsfootlink.Heartbeat:
		return &peerpb.Message{Kind: &peerpb.Message_Heartbeat{Heartbeat: encoder.encodeHeartbeat(message)}}, nil
	case coltsfootlink.Demand:
		return &peerpb.Message{Kind: &peerpb.Message_Demand{Demand: encoder.encodeDemand(message)}}, nil
	case coltsfootlink.Grant:
		return &peerpb.Message{Kind: &peerpb.Message_Grant{Grant: encoder.encodeGrant(message)}}, nil
	case coltsfootlink.Release:
		return &peerpb.Message{Kind: &peerpb.Message_Release{Release: encoder.encodeRelease(message)}}, nil
	case coltsfootlink.Takeover:
		return &peerpb.Message{Kind: &peerpb.Message_Takeover{Takeover: encoder.encodeTakeover(message)}}, nil
	case coltsfootlink.NotOwner:
		return &peerpb.Message{Kind: &peerpb.Message_NotOwner{NotOwner: &peerpb.NotOwner{ShardRef: encoder.shard(message.Shard)}}}, nil
	case coltsfootlink.ListRequest:
		return &peerpb.Message{Kind: &peerpb.Message_ListRequest{ListRequest: &peerpb.ListRequest{}}}, nil
	case coltsfootlink.ListReply:
		return &peerpb.Message{Kind: &peerpb.Message_ListReply{ListReply: encoder.encodeListing(message.Listing)}}, nil
	case coltsfootlink.Holdings:
		return &peerpb.Message{Kind: &peerpb.Message_Holdings{Holdings: encoder.encodeHoldings(message)}}, nil
	case coltsfootlink.Counters:
		return &peerpb.Message{Kind: &peerpb.Message_Counters{Counters: encoder.encodeCounters(message)}}, nil
	case coltsfootlink.Strikes:
		return &peerpb.Message{Kind: &peerpb.Message_Strikes{Strikes: &peerpb.Strikes{Strikes: convertAll(message.Strikes, encoder.encodeStrike)}}}, nil
	case coltsfootlink.RevisionRequest:
		return &peerpb.Message{Kind: &peerpb.Message_RevisionRequest{RevisionRequest: &peerpb.RevisionRequest{}}}, nil
	case coltsfootlink.RevisionReply:
		return &peerpb.Message{Kind: &peerpb.Message_RevisionReply{RevisionReply: encoder.encodeRevisionReply(message)}}, nil
	case coltsfootlink.ClaimRequest:
		return &peerpb.Message{Kind: &peerpb.Message_ClaimRequest{ClaimRequest: encoder.encodeClaimRequest(message)}}, nil
	case coltsfootlink.ClaimReply:
		return &peerpb.Message{Kind: &peerpb.Message_ClaimReply{ClaimReply: encoder.encodeClaimReply(message)}}, nil
	case coltsfootlink.ClaimOutcome:
		return &peerpb.Message{Kind: &peerpb.Message_ClaimOutcome{ClaimOutcome: encoder.encodeClaimOutcome(message)}}, nil
	case coltsfootlink.MoveFault:
		return &peerpb.Message{Kind: &peerpb.Message_MoveFault{MoveFault: encoder.encodeMoveFault(message)}}, nil
	case coltsfootlink.MoveProgress:
		return &peerpb.Message{Kind: &peerpb.Message_MoveProgress{MoveProgress: encoder.encodeMoveProgress(message)}}, nil
	case coltsfootlink.Ask:
		return &peerpb.Message{Kind: &peerpb.Message_Ask{Ask: encoder.encodeAsk(message)}}, nil
	case coltsfootlink.Verdict:
		return &peerpb.Message{Kind: &peerpb.Message_Verdict{Verdict: encoder.encodeVerdict(message)}}, nil
	case coltsfootlink.Progress:
		return &peerpb.Message{Kind: &peerpb.Message_Progress{Progress: encoder.encodeProgress(message)}}, nil
	case coltsfootlink.Held:
		return &peerpb.Message{Kind: &peerpb.Message_Held{Held: encoder.encodeHeld(message)}}, nil
	case coltsfootlink.TargetNotice:
		return &peerpb.Message{Kind: &peerpb.Message_TargetNotice{TargetNotice: encoder.encodeTargetNotice(message)}}, nil
	case coltsfootlink.News:
		return &peerpb.Message{Kind: &peerpb.Message_News{News: encoder.encodeNews(message)}}, nil
	case coltsfootlink.Offered:
		return &peerpb.Message{Kind: &peerpb.Message_Offered{Offered: encoder.encodeOffered(message)}}, nil
	case coltsfootlink.Shares:
		return &peerpb.Message{Kind: &peerpb.Message_Shares{Shares: encoder.encodeShares(message)}}, nil
	case coltsfootlink.MoveUsages:
		return &peerpb.Message{Kind: &peerpb.Message_MoveUsages{MoveUsages: encoder.encodeMoveUsages(message)}}, nil
	case coltsfootlink.MoveWord:
		return &peerpb.Message{Kind: &peerpb.Message_MoveWord{MoveWord: encoder.encodeMoveWord(message)}}, nil
	case coltsfootlink.NewsRequest:
		return &peerpb.Message{Kind: &peerpb.Message_NewsRequest{NewsRequest: &peerpb.NewsRequest{}}}, nil
	case coltsfootlink.DutyReport:
		return &peerpb.Message{Kind: &peerpb.Message_DutyReport{DutyReport: encoder.encodeDutyReport(message)}}, nil
	case coltsfootlink.DutyHolder:
		return &peerpb.Message{Kind: &peerpb.Message_DutyHolder{DutyHolder: &peerpb.DutyHolder{Token: message.Token, NextWindow: message.NextWindow}}}, nil
	case coltsfootlink.TargetSpeeds:
		return &peerpb.Message{Kind: &peerpb.Message_TargetSpeeds{TargetSpeeds: encoder.encodeTargetSpeeds(message)}}, nil
	case coltsfootlink.QuarantineNews:
		return &peerpb.Message{Kind: &peerpb.Message_QuarantineNews{QuarantineNews: encoder.encodeQuarantineNews(message)}}, nil
	case coltsfootlink.QuarantineRequest:
		return &peerpb.Message{Kind: &peerpb.Message_QuarantineRequest{QuarantineRequest: &peerpb.QuarantineRequest{}}}, nil
	default:
		return nil, errors.Newf("peer: message of type %T is local to an instance and has no encoding", message)
	}
}

// decode returns the message of a protobuf form, or an error if its kind is unknown, as with a sender of a newer
// version.
func (decoder *decoder) decode(message *peerpb.Message) (coltsfootlink.Message, error) {
	switch kind := message.GetKind().(type) {
	case *peerpb.Message_Heartbeat:
		return decoder.decodeHeartbeat(kind.Heartbeat), nil
	case *peerpb.Message_Demand:
		return decoder.decodeDemand(kind.Demand), nil
	case *peerpb.Message_Grant:
		return decoder.decodeGrant(kind.Grant), nil
	case *peerpb.Message_Release:
		return decoder.decodeRelease(kind.Release), nil
	case *peerpb.Message_Takeover:
		return coltsfootlink.Takeover{
			Shard: decoder.shard(kind.Takeover.GetShardRef()),
			Epoch: coltsfootlink.Epoch(decoder.number(kind.Takeover.GetEpochRef())),
			Owner: coltsfootlink.InstanceName(decoder.name(kind.Takeover.GetOwnerRef())),
		}, nil
	case *peerpb.Message_NotOwner:
		return coltsfootlink.NotOwner{Shard: decoder.shard(kind.NotOwner.GetShardRef())}, nil
	case *peerpb.Message_ListRequest:
		return coltsfootlink.ListRequest{}, nil
	case *peerpb.Message_ListReply:
		return coltsfootlink.ListReply{Listing: decoder.decodeListing(kind.ListReply)}, nil
	case *peerpb.Message_Holdings:
		return coltsfootlink.Holdings{
			Shard:      decoder.shard(kind.Holdings.GetShardRef()),
			Epoch:      coltsfootlink.Epoch(decoder.number(kind.Holdings.GetEpochRef())),
			LastSerial: kind.Holdings.GetLastSerial(),
			Permits:    convertAll(kind.Holdings.GetPermits(), decoder.decodePermit),
		}, nil
	case *peerpb.Message_Counters:
		return decoder.decodeCounters(kind.Counters), nil
	case *peerpb.Message_Strikes:
		return coltsfootlink.Strikes{Strikes: convertAll(kind.Strikes.GetStrikes(), decoder.decodeStrike)}, nil
	case *peerpb.Message_RevisionRequest:
		return coltsfootlink.RevisionRequest{}, nil
	case *peerpb.Message_RevisionReply:
		return coltsfootlink.RevisionReply{
			Revision: coltsfootlink.Revision(kind.RevisionReply.GetRevision()),
			Position: coltsfootlink.Position{Era: kind.RevisionReply.GetEra(), Offset: kind.RevisionReply.GetOffset()},
			Document: kind.RevisionReply.GetDocument(),
		}, nil
	case *peerpb.Message_ClaimRequest:
		return decoder.decodeClaimRequest(kind.ClaimRequest), nil
	case *peerpb.Message_ClaimReply:
		return decoder.decodeClaimReply(kind.ClaimReply), nil
	case *peerpb.Message_ClaimOutcome:
		return decoder.decodeClaimOutcome(kind.ClaimOutcome), nil
	case *peerpb.Message_MoveFault:
		return decoder.decodeMoveFault(kind.MoveFault), nil
	case *peerpb.Message_MoveProgress:
		return decoder.decodeMoveProgress(kind.MoveProgress), nil
	case *peerpb.Message_Ask:
		return decoder.decodeAsk(kind.Ask), nil
	case *peerpb.Message_Verdict:
		return decoder.decodeVerdict(kind.Verdict), nil
	case *peerpb.Message_Progress:
		return decoder.decodeProgress(kind.Progress), nil
	case *peerpb.Message_Held:
		return decoder.decodeHeld(kind.Held), nil
	case *peerpb.Message_TargetNotice:
		return decoder.decodeTargetNotice(kind.TargetNotice), nil
	case *peerpb.Message_News:
		return decoder.decodeNews(kind.News), nil
	case *peerpb.Message_Offered:
		return decoder.decodeOffered(kind.Offered), nil
	case *peerpb.Message_MoveUsages:
		return decoder.decodeMoveUsages(kind.MoveUsages), nil
	case *peerpb.Message_MoveWord:
		return decoder.decodeMoveWord(kind.MoveWord), nil
	case *peerpb.Message_Shares:
		return decoder.decodeShares(kind.Shares), nil
	case *peerpb.Message_NewsRequest:
		return coltsfootlink.NewsRequest{}, nil
	case *peerpb.Message_DutyReport:
		return decoder.decodeDutyReport(kind.DutyReport), nil
	case *peerpb.Message_DutyHolder:
		return coltsfootlink.DutyHolder{Token: kind.DutyHolder.GetToken(), NextWindow: kind.DutyHolder.GetNextWindow()}, nil
	case *peerpb.Message_TargetSpeeds:
		return decoder.decodeTargetSpeeds(kind.TargetSpeeds), nil
	case *peerpb.Message_QuarantineNews:
		return decoder.decodeQuarantineNews(kind.QuarantineNews), nil
	case *peerpb.Message_QuarantineRequest:
		return coltsfootlink.QuarantineRequest{}, nil
	default:
		return nil, errors.New("peer: unknown kind of message")
	}
}

// convertAll converts each element of a list; an empty list becomes nil.
func convertAll[From, To any](list []From, convert func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	converted := make([]To, 0, len(list))
	for _, element := range list {
		converted = append(converted, convert(element))
	}
	return converted
}

// toUnixMillis returns the time in milliseconds since the Unix epoch; zero for the zero time.
func toUnixMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func fromUnixMillis(at int64) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}
