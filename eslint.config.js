import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["**/dist/**", "**/dist-tests/**", "**/node_modules/**", "target/**"] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    files: ["**/*.ts"],
    languageOptions: {
      parserOptions: {
        project: [
          "packages/*/tsconfig.json",
          "packages/*/tsconfig.tests.json",
          "platform/tsconfig.json",
          "platform/tsconfig.tests.json",
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/await-thenable": "error",
      "no-restricted-properties": [
        "error",
        {
          object: "AbortSignal",
          property: "any",
          message:
            "It does not keep the signals that it follows, so that a timeout may never fire; use CallDeadline.",
        },
      ],
      "max-lines": ["error", { max: 350, skipBlankLines: true, skipComments: true }],
      // Nest modules and static-only factories have no instance members.
      "@typescript-eslint/no-extraneous-class": [
        "error",
        { allowWithDecorator: true, allowStaticOnly: true },
      ],
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_", varsIgnorePattern: "^_" },
      ],
    },
  },
  { files: ["**/*.cjs"], languageOptions: { globals: { module: "writable" } } },
  {
    files: ["**/*.mjs", "**/*.js"],
    languageOptions: {
      globals: {
        console: "readonly",
        process: "readonly",
        URL: "readonly",
        setTimeout: "readonly",
        clearTimeout: "readonly",
      },
    },
  },
);
