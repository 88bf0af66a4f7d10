export { FollowingRegistry, type FollowingRegistryDependencies } from "./FollowingRegistry.js";
export { RegistryTask, type RegistryDependencies } from "./RegistryTask.js";
export {
  fetchRelayedUpdate,
  registryChangesPath,
  relayedUpdateSchema,
  type RelayedUpdate,
} from "./relayedUpdate.js";
