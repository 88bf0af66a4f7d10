import { KernelError } from "../errors/index.js";

/** Base of the reasons why a request was not admitted. */
export abstract class AdmissionError extends KernelError {}
