package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// TestCallerThatClosesItsSendingSide guards against an empty success: such a caller gets its answer,
// or a connection that is cut without one.
func TestCallerThatClosesItsSendingSide(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	vm := f.addVM(1, true)
	for i, path := range []string{standin.OncePath + "x", standin.ResumePath + "x", standin.JobsPath + "x"} {
		answer, err := vm.caller("k1").HalfClose(path, fmt.Sprint("half", i), 5*time.Millisecond)
		qt.Assert(t, err == nil || strings.Contains(err.Error(), "reset"), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, standin.IsEmptySuccess(answer), qt.IsFalse, qt.Commentf("%s: %q", path, answer))
	}
}
