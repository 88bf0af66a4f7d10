export {
  EvacuatedZones,
  type EvacuationChange,
  type EvacuationSource,
  type ZoneList,
} from "./EvacuatedZones.js";
export { getSpreadKey, type PlacedRequest } from "./getSpreadKey.js";
export { isZoneName } from "./isZoneName.js";
