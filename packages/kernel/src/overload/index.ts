export {
  AdmissionQueue,
  type AdmissionQueueOptions,
  type AdmissionView,
} from "./AdmissionQueue.js";
export { CapacityShare, type FleetSize } from "./CapacityShare.js";
export type { QueueAction, QueuedRequest, QueueRefusalReason } from "./QueuedRequest.js";
export { getServiceCapacity, getUsableUpstreams, type ServiceCapacity } from "./ServiceCapacity.js";
export { ServiceRates } from "./ServiceRates.js";
export { WaitingQueue } from "./WaitingQueue.js";
