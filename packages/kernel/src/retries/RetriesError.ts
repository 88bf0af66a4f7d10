import { KernelError } from "../errors/index.js";

/** Base of the reasons why a request was given up on. */
export abstract class RetriesError extends KernelError {}
