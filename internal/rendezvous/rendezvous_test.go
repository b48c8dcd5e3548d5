package rendezvous

import (
	"fmt"
	"testing"
)

// TestTop guards against an uneven distribution of keys, and against moving keys when a member that does not
// own them leaves.
func TestTop(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("10.0.0.%d:7946", i))
	}
	all, fewer := NewSet(ids), NewSet(ids[:39])
	counts := make([]int, len(ids))
	const keys = 8000
	for k := range keys {
		key := HashString(fmt.Sprintf("pool/%d", k))
		top := all.Top(key, 2)
		if one := all.Top(key, 1); one[0] != top[0] {
			t.Fatalf("key %d: first of one is %d, first of two is %d", k, one[0], top[0])
		}
		counts[top[0]]++
		next := fewer.Top(key, 1)[0]
		if top[0] != 39 && next != top[0] {
			t.Errorf("key %d moved from %d to %d without need", k, top[0], next)
		}
		if top[0] == 39 && next != top[1] {
			t.Errorf("key %d moved to %d, want its second owner %d", k, next, top[1])
		}
	}
	for i, c := range counts {
		if c < keys/40/2 || c > keys/40*2 {
			t.Errorf("member %d owns %d of %d keys", i, c, keys)
		}
	}
}
