import stylistic from "@stylistic/eslint-plugin";
import typescript from "typescript-eslint";

export default typescript.config(
    { ignores: ["**/node_modules/**", "**/dist/**", "target/**", "**/generated/**"] },
    ...typescript.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { "@stylistic": stylistic },
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
