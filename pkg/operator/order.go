package operator

import (
	"fmt"
	"strings"

	"github.com/google/uuid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

type orderCmd struct {
	Submit   orderSubmitCmd   `cmd:"" help:"Record an order; the system sends it until it holds."`
	Withdraw orderWithdrawCmd `cmd:"" help:"Withdraw an order; what servers did already stays."`
	List     orderListCmd     `cmd:"" help:"List the orders and their progress."`
}

type orderSubmitCmd struct {
	Kind    string `help:"What to change: ${enum}." enum:"load-model,load-adapter,set-version,set-role" required:""`
	Value   string `help:"Model, adapter, version or role (prefill, decode)." required:""`
	Pool    string `help:"Pool of the servers." required:""`
	Target  string `help:"One backend server; all servers of the pool by default." name:"backend"`
	OrderID string `help:"Order ID of an earlier try to resend; a new one is made otherwise." name:"order-id"`
}

// Help shows examples.
func (orderSubmitCmd) Help() string {
	return `Examples:
  daisyhatch order submit --kind load-adapter --value pickup-summary --pool writers
  daisyhatch order submit --kind set-role --value prefill --pool writers --backend writers-3`
}

func orderKinds() map[string]daisyhatchv1.OrderKind {
	return map[string]daisyhatchv1.OrderKind{
		"load-model":   daisyhatchv1.OrderKind_ORDER_KIND_LOAD_MODEL,
		"load-adapter": daisyhatchv1.OrderKind_ORDER_KIND_LOAD_ADAPTER,
		"set-version":  daisyhatchv1.OrderKind_ORDER_KIND_SET_VERSION,
		"set-role":     daisyhatchv1.OrderKind_ORDER_KIND_SET_ROLE,
	}
}

func orderKindName(k daisyhatchv1.OrderKind) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(k.String(), "ORDER_KIND_")), "_", "-")
}

// Run submits the order.
func (o *orderSubmitCmd) Run(s *session) error {
	if o.OrderID == "" {
		o.OrderID = uuid.NewString()
	}
	return s.submitOrder(&daisyhatchv1.OrderCommand{
		OrderId: o.OrderID, Server: o.Target, Pool: o.Pool, Kind: orderKinds()[o.Kind], Value: o.Value,
	})
}

type orderWithdrawCmd struct {
	OrderID string `arg:"" help:"Order ID." name:"order-id"`
}

// Run withdraws the order.
func (o *orderWithdrawCmd) Run(s *session) error {
	return s.submitOrder(&daisyhatchv1.OrderCommand{OrderId: o.OrderID, Withdraw: true})
}

func (s *session) submitOrder(command *daisyhatchv1.OrderCommand) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	fprintf(s.err, "order ID %s\n", command.GetOrderId())
	answer, err := call(s.ctx, c, daisyhatchv1connect.OperatorServiceClient.SubmitOrder,
		&daisyhatchv1.SubmitOrderRequest{Order: command})
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(answer)
	}
	if command.GetWithdraw() {
		s.printf("order withdrawn\n")
		return nil
	}
	s.printf("order accepted with fencing number %d\n", answer.GetOrder().GetFence())
	return nil
}

type orderListCmd struct{}

// Help shows examples.
func (orderListCmd) Help() string {
	return `Examples:
  daisyhatch order list`
}

// Run lists the orders.
func (orderListCmd) Run(s *session) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	answer, err := read(s.ctx, c, daisyhatchv1connect.OperatorServiceClient.ListOrders, &daisyhatchv1.ListOrdersRequest{})
	if err != nil {
		return err
	}
	if s.json() {
		return s.printProto(answer)
	}
	rows := [][]string{{"ORDER ID", "ACCEPTED", "OPERATOR", "POOL", "SERVER", "KIND", "VALUE", "IN FORCE"}}
	for _, o := range answer.GetOrders() {
		done := 0
		for _, p := range o.GetProgress() {
			if p.GetInForce() {
				done++
			}
		}
		rows = append(rows, []string{
			o.GetOrderId(), formatTime(o.GetAcceptedUnixMs()), o.GetOperator(), o.GetPool(), orDash(o.GetServer()),
			orderKindName(o.GetKind()), o.GetValue(), fmt.Sprintf("%d of %d", done, len(o.GetProgress())),
		})
	}
	s.table(rows)
	return nil
}
