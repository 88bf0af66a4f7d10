export {
  createPublishedConfiguration,
  type PublishedConfigurationOptions,
} from "./configuration.js";
export { RegistryStore, type StoreMode } from "./RegistryStore.js";
export { ScriptedCaller, type CallerOutcome, type CallerRequest } from "./ScriptedCaller.js";
export {
  respondWith,
  refuseRequest,
  ScriptedUpstream,
  streamEvents,
  type ReceivedRequest,
  type Script,
} from "./ScriptedUpstream.js";
