"""Entry point of ``python -m bronzewall``."""

from bronzewall.command import main

if __name__ == '__main__':
    main()
