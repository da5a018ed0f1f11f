package node

import "time"

// storeTimeout bounds one call to the object API, which answers in milliseconds when it is up. A write that takes
// longer counts as unclear and is read back.
const storeTimeout = 2 * time.Second
