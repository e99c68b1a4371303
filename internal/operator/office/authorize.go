package office

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// operatorKey is the context key of the authenticated operator's name.
type operatorKey struct{}

// authorize responds with 401 to requests without a valid operator's token. It passes all
// other requests to next, with the operator's name in the context.
func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := h.findOperator(token)
		if !ok || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			h.writeError(w, ErrUnauthorized)
			return
		}
		ctx := context.WithValue(r.Context(), operatorKey{}, name)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// findOperator returns the name of the operator with a token. It compares the token's
// hash with that of every credential, each in constant time, so that the time taken
// reveals nothing about the hashes.
func (h *Handler) findOperator(token string) (name string, known bool) {
	hash := contract.HashKey(token)
	for _, c := range h.config.Credentials {
		want := c.Hash()
		if subtle.ConstantTimeCompare(hash[:], want[:]) == 1 {
			name, known = c.Name(), true
		}
	}
	return name, known
}

// operatorOf returns the name that authorize added to the context.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
