package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"coltsfootlink/platform"
)

// defaultSlots is the number of slots that a target reports if the scene gives it no warm concurrency limit.
const defaultSlots = 8

// registrar writes the records of the scene's instances and targets to the store.
type registrar struct {
	store *Store
	scene Scene

	mutex sync.Mutex
}

// Run registers all instances and targets, then waits until the context ends.
func (registrar *registrar) Run(ctx context.Context) error {
	if err := registrar.Register(ctx, ListChange{}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// Register writes the records of all instances and targets with a change applied.
func (registrar *registrar) Register(ctx context.Context, change ListChange) error {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	for _, instance := range registrar.scene.Instances {
		document := platform.InstanceDocument{Zone: instance.Zone, PeerAddress: instance.PeerAddress}
		if err := registrar.write(ctx, platform.InstanceTopic, instance.Name, document, change); err != nil {
			return err
		}
	}
	for _, target := range registrar.scene.Targets {
		document := target.document()
		if slices.Contains(change.Leaving, target.Name) {
			document.State = platform.DrainingState
		}
		if err := registrar.write(ctx, platform.TargetTopic, target.Name, document, change); err != nil {
			return err
		}
	}
	return nil
}

func (registrar *registrar) write(ctx context.Context, topic, name string, document any, change ListChange) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if slices.Contains(change.Gone, name) {
		value = nil
	}
	record := platform.EncodeKeyed(name, value)
	_, err = registrar.store.append(ctx, partitionName{topic: topic}, [][]byte{record}, condition{})
	return err
}

// View returns a record as the instances of a zone see it: with the address by which this zone reaches the instance or
// target, which may be a proxy's.
func (registrar *registrar) View(zone, topic string, record platform.NewestRecord) platform.NewestRecord {
	switch topic {
	case platform.InstanceTopic:
		for _, instance := range registrar.scene.Instances {
			if instance.Name == record.Key {
				record.Value = withAddress(record.Value, "peer-address", cmp.Or(instance.Via[zone], instance.PeerAddress))
			}
		}
	case platform.TargetTopic:
		for _, target := range registrar.scene.Targets {
			if target.Name == record.Key {
				record.Value = withAddress(record.Value, "address", cmp.Or(target.Via[zone], target.Address))
			}
		}
	}
	return record
}

// withAddress returns a JSON document with the field set to the address, or the value unchanged if it is not a JSON
// object.
func withAddress(value []byte, field, address string) []byte {
	var document map[string]any
	if err := json.Unmarshal(value, &document); err != nil {
		return value
	}
	document[field] = address
	changed, err := json.Marshal(document)
	if err != nil {
		return value
	}
	return changed
}

// document is the record in which the target registers itself.
func (target SceneTarget) document() platform.TargetDocument {
	return platform.TargetDocument{
		Service: target.Pool,
		Address: target.Address,
		Zone:    target.Zone,
		Version: target.Version,
		Slots:   cmp.Or(int(target.Warm), defaultSlots),
		State:   platform.ReadyState,
	}
}
