export { measurePlacementCost } from "./placementCost.js";
export type { PlacementCost, PlacementCostSizes } from "./placementCost.js";
