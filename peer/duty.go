package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// This file has the codec of DutyReport and TargetSpeeds.

func (encoder *encoder) encodeDutyReport(report coltsfootlink.DutyReport) *peerpb.DutyReport {
	return &peerpb.DutyReport{
		Windows:        convertAll(report.Windows, encoder.encodeUsageWindow),
		Reached:        report.Reached,
		IncarnationRef: encoder.number(report.Incarnation),
		Loads:          convertAll(report.Loads, encoder.encodeTargetsLoad),
	}
}

func (decoder *decoder) decodeDutyReport(report *peerpb.DutyReport) coltsfootlink.DutyReport {
	return coltsfootlink.DutyReport{
		Windows:     convertAll(report.GetWindows(), decoder.decodeUsageWindow),
		Reached:     report.GetReached(),
		Incarnation: decoder.number(report.GetIncarnationRef()),
		Loads:       convertAll(report.GetLoads(), decoder.decodeTargetsLoad),
	}
}

func (encoder *encoder) encodeUsageWindow(window coltsfootlink.UsageWindow) *peerpb.UsageWindow {
	return &peerpb.UsageWindow{
		Index: window.Index,
		Teams: convertAll(window.Teams, func(count coltsfootlink.TeamCount) *peerpb.TeamCount {
			return &peerpb.TeamCount{TeamRef: encoder.ref(string(count.Team)), Requests: uint32(count.Requests)}
		}),
	}
}

func (decoder *decoder) decodeUsageWindow(window *peerpb.UsageWindow) coltsfootlink.UsageWindow {
	return coltsfootlink.UsageWindow{
		Index: window.GetIndex(),
		Teams: convertAll(window.GetTeams(), func(count *peerpb.TeamCount) coltsfootlink.TeamCount {
			return coltsfootlink.TeamCount{Team: coltsfootlink.TeamName(decoder.name(count.GetTeamRef())), Requests: int(count.GetRequests())}
		}),
	}
}

func (encoder *encoder) encodeTargetsLoad(load coltsfootlink.TargetsLoad) *peerpb.TargetsLoad {
	return &peerpb.TargetsLoad{
		PoolRef:        encoder.ref(string(load.Pool)),
		ZoneRef:        encoder.ref(string(load.Zone)),
		Targets:        uint32(load.Targets),
		Slots:          uint32(load.Slots),
		Running:        float32(load.Running),
		ReadMillis:     float32(load.ReadMillis),
		IntervalMillis: float32(load.IntervalMillis),
		GrantedTokens:  float32(load.GrantedTokens),
		RefusedTokens:  float32(load.RefusedTokens),
	}
}

func (decoder *decoder) decodeTargetsLoad(load *peerpb.TargetsLoad) coltsfootlink.TargetsLoad {
	return coltsfootlink.TargetsLoad{
		Pool:           coltsfootlink.PoolName(decoder.name(load.GetPoolRef())),
		Zone:           coltsfootlink.ZoneName(decoder.name(load.GetZoneRef())),
		Targets:        int(load.GetTargets()),
		Slots:          int(load.GetSlots()),
		Running:        float64(load.GetRunning()),
		ReadMillis:     float64(load.GetReadMillis()),
		IntervalMillis: float64(load.GetIntervalMillis()),
		GrantedTokens:  float64(load.GetGrantedTokens()),
		RefusedTokens:  float64(load.GetRefusedTokens()),
	}
}

func (encoder *encoder) encodeTargetSpeeds(speeds coltsfootlink.TargetSpeeds) *peerpb.TargetSpeeds {
	return &peerpb.TargetSpeeds{
		Speeds: convertAll(speeds.Speeds, func(speed coltsfootlink.TargetSpeed) *peerpb.TargetSpeed {
			return &peerpb.TargetSpeed{TargetRef: encoder.ref(string(speed.Target)), IncarnationRef: encoder.number(speed.Incarnation), Speed: float32(speed.Speed)}
		}),
	}
}

func (decoder *decoder) decodeTargetSpeeds(speeds *peerpb.TargetSpeeds) coltsfootlink.TargetSpeeds {
	return coltsfootlink.TargetSpeeds{
		Speeds: convertAll(speeds.GetSpeeds(), func(speed *peerpb.TargetSpeed) coltsfootlink.TargetSpeed {
			return coltsfootlink.TargetSpeed{
				Target:      coltsfootlink.TargetName(decoder.name(speed.GetTargetRef())),
				Incarnation: decoder.number(speed.GetIncarnationRef()),
				Speed:       float64(speed.GetSpeed()),
			}
		}),
	}
}
