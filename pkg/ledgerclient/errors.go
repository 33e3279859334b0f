package ledgerclient

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
)

// Retry delays sent to callers with errors of the ledger.
const (
	pendingRetryAfter     = time.Second
	unavailableRetryAfter = 2 * time.Second
	fullRetryAfter        = 30 * time.Second
)

// stateError returns the *apierr.Error for a claim that was not granted and has no stored outcome. It says that the
// request may have run unless the state rules that out.
func stateError(s daisyhatchv1.ClaimState) error {
	switch s {
	case daisyhatchv1.ClaimState_CLAIM_STATE_PENDING:
		return apierr.New(http.StatusConflict, apierr.OutcomePending,
			"an earlier request with this idempotency key is still running").
			WithRun(apierr.MayHaveRun).After(pendingRetryAfter)
	case daisyhatchv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return apierr.New(http.StatusConflict, apierr.OutcomeUnknown,
			"an earlier request with this idempotency key may have run, and its outcome can't be known").
			WithRun(apierr.MayHaveRun)
	case daisyhatchv1.ClaimState_CLAIM_STATE_KEY_REUSED:
		return apierr.New(http.StatusUnprocessableEntity, apierr.IdempotencyReused,
			"this idempotency key was used with another body")
	case daisyhatchv1.ClaimState_CLAIM_STATE_EXPIRED:
		return apierr.New(http.StatusConflict, apierr.IdempotencyExpired,
			"this idempotency key is older than the recorded ones; an earlier request with it may have run").
			WithRun(apierr.MayHaveRun)
	case daisyhatchv1.ClaimState_CLAIM_STATE_FULL:
		return apierr.New(http.StatusServiceUnavailable, apierr.LedgerUnavailable,
			"the record of not-repeatable requests is full").After(fullRetryAfter)
	default:
		return unavailableError()
	}
}

// claimError returns the *apierr.Error for a failed call of Claim: bad_request if the ledger rejects the key, otherwise
// ledger_unavailable.
func claimError(err error) error {
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		return apierr.New(http.StatusBadRequest, apierr.BadRequest, "the idempotency key is not acceptable").Wrap(err)
	}
	return unavailableError().Wrap(err)
}

func unavailableError() *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, apierr.LedgerUnavailable,
		"the record of not-repeatable requests can't be reached; send the request again with the same key").
		WithRun(apierr.MayHaveRun).After(unavailableRetryAfter)
}

// createdUnixMs returns the creation time of a key in Unix milliseconds if the key is a version 7 UUID, which contains
// it, and 0 otherwise.
func createdUnixMs(k dispatch.ClaimKey) int64 {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec).UnixMilli()
}
