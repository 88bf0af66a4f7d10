export type * from "./messages.js";
export { placementPeerMessageSchema } from "./peerMessage.js";
export type * from "./peerMessage.js";
export { Placer } from "./Placer.js";
export type { PlacementSizes } from "./Placer.js";
export { placementPlugin } from "./placementPlugin.js";
export type { PlacementState } from "./placementPlugin.js";
export { placementStrategies } from "./strategy.js";
export type { PlacementStrategy, PlacementStrategyName } from "./strategy.js";
