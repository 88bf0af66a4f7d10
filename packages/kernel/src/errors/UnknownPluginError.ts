import { KernelError } from "./KernelError.js";

/** A message was sent to a plug-in that is not registered. */
export class UnknownPluginError extends KernelError {
  readonly code = "unknown-plugin";

  constructor(readonly pluginName: string) {
    super(`plug-in "${pluginName}" is not registered`);
  }
}
