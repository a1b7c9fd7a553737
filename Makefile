.PHONY: build test lint lint-readable run catalogue demo sites

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --document-private-items

# What the modules that deny these lints themselves hold already, asked of both packages: a list of what is left.
lint-readable:
	cargo clippy --locked --workspace --lib --bins -- -W missing_docs -W rust_2018_idioms \
	    -W clippy::too_many_lines -W clippy::type_complexity -W clippy::cognitive_complexity

# Stand-in nodes, a broker, one search over SRU and one over Z39.50; ends by itself.
demo:
	cargo run --release --locked -p pebbleturn-lab -- demo

# On the platform; GW_CONFIG names the configuration.
run: build
	exec target/release/pebbleturn

# SRU and Z39.50, as the operator's file says.
catalogue: build
	exec target/release/pebbleturn serve catalogue deploy/catalogue.toml

# Lays beside the variants in deploy/sites what a play of them needs; SITES is where the site's own file lies.
SITES ?= ../given/kit/sites
sites:
	cp $(SITES)/real.json $(SITES)/wire.json $(SITES)/unlock.txt deploy/sites/
