export { takeRetryAt, type RefusalAccount } from "./takeRetryAt.js";
export {
  chargeAccount,
  startAccount,
  type VirtualAccount,
  type VirtualClock,
} from "./virtualTime.js";
