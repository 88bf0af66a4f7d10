import { KernelError } from "../errors/index.js";

/** Base class of the reasons why a request is not sent again. */
export abstract class RetriesError extends KernelError {}
