// Package peer carries messages between instances by grpc.
package peer

import (
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// encode returns the wire form of a message; an error if it does not leave the instance.
func (stream *encoder) encode(message coltsfootlink.Message) (*peerpb.Message, error) {
	switch message := message.(type) {
	case coltsfootlink.Heartbeat:
		return &peerpb.Message{Kind: &peerpb.Message_Heartbeat{Heartbeat: stream.encodeHeartbeat(message)}}, nil
	case coltsfootlink.Demand:
		return &peerpb.Message{Kind: &peerpb.Message_Demand{Demand: stream.encodeDemand(message)}}, nil
	case coltsfootlink.Grant:
		return &peerpb.Message{Kind: &peerpb.Message_Grant{Grant: stream.encodeGrant(message)}}, nil
	case coltsfootlink.Release:
		return &peerpb.Message{Kind: &peerpb.Message_Release{Release: stream.encodeRelease(message)}}, nil
	case coltsfootlink.Takeover:
		return &peerpb.Message{Kind: &peerpb.Message_Takeover{Takeover: stream.encodeTakeover(message)}}, nil
	case coltsfootlink.NotOwner:
		return &peerpb.Message{Kind: &peerpb.Message_NotOwner{NotOwner: &peerpb.NotOwner{ShardRef: stream.shard(message.Shard)}}}, nil
	case coltsfootlink.ListRequest:
		return &peerpb.Message{Kind: &peerpb.Message_ListRequest{ListRequest: &peerpb.ListRequest{}}}, nil
	case coltsfootlink.ListReply:
		return &peerpb.Message{Kind: &peerpb.Message_ListReply{ListReply: stream.encodeListing(message.Listing)}}, nil
	case coltsfootlink.Holdings:
		return &peerpb.Message{Kind: &peerpb.Message_Holdings{Holdings: stream.encodeHoldings(message)}}, nil
	case coltsfootlink.Counters:
		return &peerpb.Message{Kind: &peerpb.Message_Counters{Counters: stream.encodeCounters(message)}}, nil
	case coltsfootlink.Strikes:
		return &peerpb.Message{Kind: &peerpb.Message_Strikes{Strikes: &peerpb.Strikes{Strikes: convertAll(message.Strikes, stream.encodeStrike)}}}, nil
	case coltsfootlink.RevisionRequest:
		return &peerpb.Message{Kind: &peerpb.Message_RevisionRequest{RevisionRequest: &peerpb.RevisionRequest{}}}, nil
	case coltsfootlink.RevisionReply:
		return &peerpb.Message{Kind: &peerpb.Message_RevisionReply{RevisionReply: stream.encodeRevision(message)}}, nil
	case coltsfootlink.ClaimRequest:
		return &peerpb.Message{Kind: &peerpb.Message_ClaimRequest{ClaimRequest: stream.encodeClaimRequest(message)}}, nil
	case coltsfootlink.ClaimReply:
		return &peerpb.Message{Kind: &peerpb.Message_ClaimReply{ClaimReply: stream.encodeClaimReply(message)}}, nil
	case coltsfootlink.ClaimOutcome:
		return &peerpb.Message{Kind: &peerpb.Message_ClaimOutcome{ClaimOutcome: stream.encodeClaimOutcome(message)}}, nil
	case coltsfootlink.MoveFault:
		return &peerpb.Message{Kind: &peerpb.Message_MoveFault{MoveFault: stream.encodeMoveFault(message)}}, nil
	case coltsfootlink.MoveProgress:
		return &peerpb.Message{Kind: &peerpb.Message_MoveProgress{MoveProgress: stream.encodeMoveProgress(message)}}, nil
	case coltsfootlink.Ask:
		return &peerpb.Message{Kind: &peerpb.Message_Ask{Ask: stream.encodeAsk(message)}}, nil
	case coltsfootlink.Verdict:
		return &peerpb.Message{Kind: &peerpb.Message_Verdict{Verdict: stream.encodeVerdict(message)}}, nil
	case coltsfootlink.Progress:
		return &peerpb.Message{Kind: &peerpb.Message_Progress{Progress: stream.encodeProgress(message)}}, nil
	case coltsfootlink.Held:
		return &peerpb.Message{Kind: &peerpb.Message_Held{Held: stream.encodeHeld(message)}}, nil
	case coltsfootlink.News:
		return &peerpb.Message{Kind: &peerpb.Message_News{News: stream.encodeNews(message)}}, nil
	case coltsfootlink.Offered:
		return &peerpb.Message{Kind: &peerpb.Message_Offered{Offered: stream.encodeOffered(message)}}, nil
	case coltsfootlink.Shares:
		return &peerpb.Message{Kind: &peerpb.Message_Shares{Shares: stream.encodeShares(message)}}, nil
	case coltsfootlink.MoveUsages:
		return &peerpb.Message{Kind: &peerpb.Message_MoveUsages{MoveUsages: stream.encodeMoveUsages(message)}}, nil
	case coltsfootlink.MoveWord:
		return &peerpb.Message{Kind: &peerpb.Message_MoveWord{MoveWord: stream.encodeMoveWord(message)}}, nil
	case coltsfootlink.NewsRequest:
		return &peerpb.Message{Kind: &peerpb.Message_NewsRequest{NewsRequest: &peerpb.NewsRequest{}}}, nil
	default:
		return nil, errors.Newf("peer: message %T does not leave an instance", message)
	}
}

// decode returns the message of a wire form; an error if its kind is not known.
func (stream *decoder) decode(message *peerpb.Message) (coltsfootlink.Message, error) {
	switch kind := message.GetKind().(type) {
	case *peerpb.Message_Heartbeat:
		return stream.decodeHeartbeat(kind.Heartbeat), nil
	case *peerpb.Message_Demand:
		return stream.decodeDemand(kind.Demand), nil
	case *peerpb.Message_Grant:
		return stream.decodeGrant(kind.Grant), nil
	case *peerpb.Message_Release:
		return stream.decodeRelease(kind.Release), nil
	case *peerpb.Message_Takeover:
		return coltsfootlink.Takeover{
			Shard: stream.shard(kind.Takeover.GetShardRef()),
			Epoch: coltsfootlink.Epoch(stream.number(kind.Takeover.GetEpochRef())),
			Owner: coltsfootlink.InstanceName(stream.name(kind.Takeover.GetOwnerRef())),
		}, nil
	case *peerpb.Message_NotOwner:
		return coltsfootlink.NotOwner{Shard: stream.shard(kind.NotOwner.GetShardRef())}, nil
	case *peerpb.Message_ListRequest:
		return coltsfootlink.ListRequest{}, nil
	case *peerpb.Message_ListReply:
		return coltsfootlink.ListReply{Listing: stream.decodeListing(kind.ListReply)}, nil
	case *peerpb.Message_Holdings:
		return coltsfootlink.Holdings{
			Shard:      stream.shard(kind.Holdings.GetShardRef()),
			Epoch:      coltsfootlink.Epoch(stream.number(kind.Holdings.GetEpochRef())),
			LastSerial: kind.Holdings.GetLastSerial(),
			Permits:    convertAll(kind.Holdings.GetPermits(), stream.decodePermit),
		}, nil
	case *peerpb.Message_Counters:
		return stream.decodeCounters(kind.Counters), nil
	case *peerpb.Message_Strikes:
		return coltsfootlink.Strikes{Strikes: convertAll(kind.Strikes.GetStrikes(), stream.decodeStrike)}, nil
	case *peerpb.Message_RevisionRequest:
		return coltsfootlink.RevisionRequest{}, nil
	case *peerpb.Message_RevisionReply:
		return coltsfootlink.RevisionReply{
			Revision: coltsfootlink.Revision(kind.RevisionReply.GetRevision()),
			Offset:   kind.RevisionReply.GetOffset(),
			Document: kind.RevisionReply.GetDocument(),
		}, nil
	case *peerpb.Message_ClaimRequest:
		return stream.decodeClaimRequest(kind.ClaimRequest), nil
	case *peerpb.Message_ClaimReply:
		return stream.decodeClaimReply(kind.ClaimReply), nil
	case *peerpb.Message_ClaimOutcome:
		return stream.decodeClaimOutcome(kind.ClaimOutcome), nil
	case *peerpb.Message_MoveFault:
		return stream.decodeMoveFault(kind.MoveFault), nil
	case *peerpb.Message_MoveProgress:
		return stream.decodeMoveProgress(kind.MoveProgress), nil
	case *peerpb.Message_Ask:
		return stream.decodeAsk(kind.Ask), nil
	case *peerpb.Message_Verdict:
		return stream.decodeVerdict(kind.Verdict), nil
	case *peerpb.Message_Progress:
		return stream.decodeProgress(kind.Progress), nil
	case *peerpb.Message_Held:
		return stream.decodeHeld(kind.Held), nil
	case *peerpb.Message_News:
		return stream.decodeNews(kind.News), nil
	case *peerpb.Message_Offered:
		return stream.decodeOffered(kind.Offered), nil
	case *peerpb.Message_MoveUsages:
		return stream.decodeMoveUsages(kind.MoveUsages), nil
	case *peerpb.Message_MoveWord:
		return stream.decodeMoveWord(kind.MoveWord), nil
	case *peerpb.Message_Shares:
		return stream.decodeShares(kind.Shares), nil
	case *peerpb.Message_NewsRequest:
		return coltsfootlink.NewsRequest{}, nil
	default:
		return nil, errors.New("peer: message of an unknown kind")
	}
}

// convertAll converts each element of a list.
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

// toMillis returns milliseconds since 1970; zero for the zero time.
func toMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func fromMillis(at int64) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}
