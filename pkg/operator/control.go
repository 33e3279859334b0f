package operator

import (
	"fmt"

	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/inifile"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/version"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

type controlCmd struct {
	Add    controlAddCmd    `cmd:"" help:"Add a control VM to the group."`
	Remove controlRemoveCmd `cmd:"" help:"Remove a control VM from the group."`
	Status controlStatusCmd `cmd:"" help:"Show the group's members."`

	Recover controlRecoverCmd `cmd:"" help:"Make this VM the only voter of a new group after a quorum's disks are lost."`
}

type controlAddCmd struct {
	Name    string `arg:"" help:"VM name, as in its settings."`
	Address string `arg:"" help:"Peer address of the VM, IP:port."`
}

// Help shows examples.
func (controlAddCmd) Help() string {
	return `Start the VM first, with join = yes in its settings. It counts toward the quorum only once it has caught up.

Examples:
  daisyhatch control add vm-9 10.1.0.9:7200`
}

// Run adds the VM.
func (a *controlAddCmd) Run(s *session) error {
	if _, err := inifile.ParseAddress(a.Address); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return s.changeControl(&daisyhatchv1.ChangeControlRequest{Add: &daisyhatchv1.ConsensusPeer{Vm: a.Name, Address: a.Address}})
}

type controlRemoveCmd struct {
	Name string `arg:"" help:"VM name."`
}

// Help shows examples.
func (controlRemoveCmd) Help() string {
	return `Examples:
  daisyhatch control remove vm-2`
}

// Run removes the VM.
func (r *controlRemoveCmd) Run(s *session) error {
	return s.changeControl(&daisyhatchv1.ChangeControlRequest{Remove: r.Name})
}

func (s *session) changeControl(request *daisyhatchv1.ChangeControlRequest) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	answer, err := call(s.ctx, c, daisyhatchv1connect.OperatorServiceClient.ChangeControl, request)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(answer)
	}
	s.printMembership(answer.GetMembership(), "")
	return nil
}

type controlStatusCmd struct{}

// Run shows the members.
func (controlStatusCmd) Run(s *session) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	status, err := getStatus(s.ctx, c)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(status.GetMembership())
	}
	s.printMembership(status.GetMembership(), status.GetLeader())
	return nil
}

type controlRecoverCmd struct {
	Settings string `arg:"" help:"Settings file of the VM's daemon, which must not run."`
	Confirm  string `help:"The sentence that this command shows without it."`
}

// Help shows examples.
func (controlRecoverCmd) Help() string {
	return `The last resort, run on the control VM itself: what only the lost VMs had is gone, and the other members must
never be started again with their old data folders. Without --confirm it changes nothing and shows the sentence to
confirm with.

Examples:
  daisyhatch control recover /etc/daisyhatch/vm-1.ini`
}

// Run recovers the group.
func (r *controlRecoverCmd) Run(s *session) error {
	vm, err := settings.Load(r.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if !vm.VM.Control() {
		return fmt.Errorf("%w: VM %s has no role control", ErrUsage, vm.VM.Name)
	}
	if r.Confirm != wal.ConfirmText(vm.VM.Name) {
		return fmt.Errorf("%w: nothing was changed; confirm with --confirm %q", ErrUsage, wal.ConfirmText(vm.VM.Name))
	}
	peer := &daisyhatchv1.ConsensusPeer{Vm: vm.VM.Name, Address: vm.PeerAddress().String()}
	options := wal.Options{Dir: vm.VM.LogDir(), Log: logr.Discard()}
	index, err := wal.ForceNewCluster(options, vm.VM.Name, peer, r.Confirm)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	s.printf("VM %s is the only voter from log index %d on; start its daemon, then add the others anew\n", vm.VM.Name, index)
	return nil
}

type versionCmd struct{}

// Run shows the version.
func (versionCmd) Run(s *session) error {
	if s.json() {
		return s.printJSON(struct {
			Version string `json:"version"`
			Format  int    `json:"format"`
		}{version.Version, version.Format})
	}
	s.printf("daisyhatch %s\n", version.Version)
	return nil
}
