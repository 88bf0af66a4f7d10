export { DatagramLink } from "./DatagramLink.js";
export { FaultProxy } from "./FaultProxy.js";
export { Link } from "./Link.js";
export { resetSocket } from "./resetSocket.js";
export type {
  DatagramRuleOptions,
  Direction,
  FaultProxyOptions,
  LinkMode,
  LinkOptions,
  RuleOptions,
} from "./schema.js";
