export {
  readPublishedConfiguration,
  type PublishedConfiguration,
} from "./readPublishedConfiguration.js";
export { readTextFile, writeTextFile } from "./textFiles.js";
