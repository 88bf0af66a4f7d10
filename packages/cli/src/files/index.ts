export { readPublished, type PublishedReading } from "./readPublished.js";
export { readTextFile, writeTextFile } from "./textFiles.js";
