package documents

import (
	"net/http"
	"time"

	"topazshed/internal/constants"
)

// BoundRead bounds the time that a caller may take to send the body of its request. Its result lifts the bound.
func BoundRead(w http.ResponseWriter) (lift func()) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(constants.DocumentReadWait))
	return func() { controller.SetReadDeadline(time.Time{}) }
}
