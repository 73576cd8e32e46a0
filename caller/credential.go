package caller

import (
	"net/http"
	"strings"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// identity is the team and key of a request.
type identity struct {
	team bergamotgrade.Team
	// keyHash is empty on a route that needs no key.
	keyHash string
}

// requestKey returns the API key of the request, or "".
func requestKey(req *http.Request) string {
	if secret, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer "); ok {
		return strings.TrimSpace(secret)
	}
	return req.Header.Get("X-Api-Key")
}

// identify authenticates the request by its key against the configuration in force.
func identify(source StateSource, req *http.Request) (identity, error) {
	secret := requestKey(req)
	if secret == "" || len(secret) > maxKeyBytes {
		return identity{}, bergamotgrade.NewError(bergamotgrade.KindKeyMissing, "the request carries no key", "send `Authorization: Bearer KEY`").WithNotRun()
	}
	hash := bergamotgrade.HashKey(secret)
	state := source.State()
	team, ok := teamOf(state, hash)
	if !ok || source.KeyMayBeWithdrawn(bergamotgrade.Key{KeyHash: hash, TeamID: team.TeamID}) {
		return identity{}, bergamotgrade.NewError(bergamotgrade.KindKeyUnknown, "the key is not in force", "use a key that your operator has given and not withdrawn").WithNotRun()
	}
	return identity{team: team, keyHash: hash}, nil
}

func teamOf(state *release.State, keyHash string) (bergamotgrade.Team, bool) {
	key, ok := state.Key(keyHash)
	if !ok {
		return bergamotgrade.Team{}, false
	}
	return state.Team(key.TeamID)
}
