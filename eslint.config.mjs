import stylistic from "@stylistic/eslint-plugin";
import { createTypeScriptImportResolver } from "eslint-import-resolver-typescript";
import { importX } from "eslint-plugin-import-x";
import typescript from "typescript-eslint";

export default typescript.config(
    { ignores: ["**/node_modules/**", "**/dist/**", "target/**", "**/generated/**"] },
    ...typescript.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { "@stylistic": stylistic, "import-x": importX },
        settings: {
            "import-x/extensions": [".ts"],
            "import-x/parsers": { "@typescript-eslint/parser": [".ts"] },
            "import-x/resolver-next": [createTypeScriptImportResolver({ project: "tsconfig.json" })],
        },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-var": "error",
            "prefer-const": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "use undefined, not null" },
            ],
            "camelcase": ["error", { properties: "never" }],
            "max-lines": ["error", { max: 400 }],
            "import-x/no-cycle": "error",
            "@stylistic/indent": "off",
            "@stylistic/quotes": ["error", "double", { avoidEscape: true }],
            "@stylistic/semi": ["error", "always"],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
        },
    },
);
