.PHONY: build test lint run catalogue

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# On the platform; GW_CONFIG names the configuration.
run: build
	exec target/release/pebbleturn

# SRU and Z39.50, as the operator's file says.
catalogue: build
	exec target/release/pebbleturn --catalogue deploy/catalogue.toml
