package entry

import "github.com/bergamotgrade/bergamotgrade"

// regions knows in which regions the data centres are.
type regions struct {
	// own is the data centre of this VM.
	own string
	// byDataCentre holds the region of each data centre; a data centre without one is in an unknown
	// region, which is no home.
	byDataCentre map[string]string
}

func regionsOf(settings bergamotgrade.NodeSettings) regions {
	return regions{own: settings.DataCentre, byDataCentre: settings.Regions}
}

// of returns the region of the data centre; "" if it is unknown.
func (r regions) of(dataCentre string) string { return r.byDataCentre[dataCentre] }

// mayCarry reports whether a VM of the data centre may see data with the homes that this VM holds: it
// is in the homes or in this VM's own region.
func (r regions) mayCarry(dataCentre string, homes bergamotgrade.Homes) bool {
	region := r.of(dataCentre)
	return homes.Includes(region) || region != "" && region == r.of(r.own)
}
