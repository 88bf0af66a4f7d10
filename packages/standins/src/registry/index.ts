export { createPublishedConfiguration, type PublishedOptions } from "./configuration.js";
export { RegistryStore, type StoreMode } from "./RegistryStore.js";
export { ScriptedCaller, type CallerOutcome, type CallerRequest } from "./ScriptedCaller.js";
export {
  answerWhole,
  refuseRequest,
  ScriptedUpstream,
  streamEvents,
  type ReceivedRequest,
  type Script,
} from "./ScriptedUpstream.js";
