package gateway

import "topazshed/internal/constants"

// Capacity is how many requests a node may have in flight with so many bytes of memory for the whole process.
func Capacity(memory int64) int {
	return int(max(constants.MinCapacity, min(memory/constants.CapacityParts/constants.RequestBytes, constants.MaxCapacity)))
}

// IsFull tells whether a request must be refused at once, because so many are in flight with it: the lowest priority (a high number) finds
// the node full first, so that the rest of its capacity is kept for the higher ones.
func IsFull(inFlight, capacity int, priority uint32) bool {
	rank := min(int(priority), constants.ShedRanks)
	return inFlight > capacity-capacity*rank/constants.CapacityPriorityParts
}
