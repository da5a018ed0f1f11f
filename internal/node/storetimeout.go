package node

import "time"

// storeTimeout bounds one call to the object API, which normally answers within milliseconds. A write that takes
// longer has an unknown outcome and is read back.
const storeTimeout = 2 * time.Second
