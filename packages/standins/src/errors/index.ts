export { InvalidOptionError } from "./InvalidOptionError.js";
export { InvalidRequestError } from "./InvalidRequestError.js";
export { StandinError } from "./StandinError.js";
export { UnknownLinkError } from "./UnknownLinkError.js";
