export {
  createPublishedConfiguration,
  publishedService,
  type PublishedConfigurationOptions,
  type PublishedRoute,
  type PublishedRouteKind,
} from "./configuration.js";
export {
  sendEndless,
  writeEndlessly,
  type EndlessAnswer,
  type EndlessBody,
} from "./endlessAnswers.js";
export {
  RegistryStore,
  type AddressTranslation,
  type StoreCopy,
  type StoreMode,
} from "./RegistryStore.js";
export { ScriptedCaller, type CallerOutcome, type CallerRequest } from "./ScriptedCaller.js";
export {
  announceLeaving,
  askToBeLeftAlone,
  respondWith,
  refuseRequest,
  ScriptedUpstream,
  streamEvents,
  type HeadScript,
  type ReceivedHead,
  type ReceivedRequest,
  type Script,
} from "./ScriptedUpstream.js";
