/** Version printed by `--version`; the build checks that it equals the one in package.json. */
export const version = '0.1.0';
