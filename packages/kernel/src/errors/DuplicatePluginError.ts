import { KernelError } from "./KernelError.js";

/** Two plug-ins registered under one name. */
export class DuplicatePluginError extends KernelError {
  readonly code = "duplicate-plugin";

  constructor(readonly pluginName: string) {
    super(`plug-in "${pluginName}" is already registered`);
  }
}
