import { KernelError } from "../errors/index.js";

/** Base of the errors with which a request is not admitted. */
export abstract class AdmissionError extends KernelError {}
