export { HttpListener } from "./HttpListener.js";
export { getBodyText, getHeader, parseBody, parseValue } from "./requests.js";
