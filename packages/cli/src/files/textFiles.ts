import { readFile, stat, writeFile } from "node:fs/promises";
import { FileError } from "../errors/index.js";

/**
 * Reads a text file.
 * @param path - File to read.
 * @throws FileError when it cannot be read or is larger than 64 MiB.
 */
export async function readTextFile(path: string): Promise<string> {
  return wrapFileErrors(path, async () => {
    const { size } = await stat(path);
    if (size > maxFileBytes) {
      throw new FileError(
        path,
        `its size of ${String(size)} bytes exceeds the limit of ${String(maxFileBytes)}`,
      );
    }
    return readFile(path, "utf8");
  });
}

/**
 * Writes a text file.
 * @param path - File to write.
 * @param text - Content of the file.
 * @throws FileError when it cannot be written.
 */
export async function writeTextFile(path: string, text: string): Promise<void> {
  await wrapFileErrors(path, () => writeFile(path, text, "utf8"));
}

const maxFileBytes = 64 * 1_048_576;

async function wrapFileErrors<Value>(
  path: string,
  operation: () => Promise<Value>,
): Promise<Value> {
  try {
    return await operation();
  } catch (error) {
    if (error instanceof FileError) {
      throw error;
    }
    throw new FileError(path, error instanceof Error ? error.message : String(error));
  }
}
